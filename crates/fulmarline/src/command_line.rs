//! The command line.

// The macro writes items without doc comments of their own.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Brings weights to many hosts, routes requests and tells operators the truth.
    ///
    /// Exit codes: 0 done; 1 failed; 2 bad arguments or settings, nothing was started;
    /// 3 the command was refused, nothing was applied; 4 the outcome of the command is not known.
    cmd fulmarline {
        /// Prints the version.
        optional --version

        /// Prints a hint when no command is given.
        default cmd overview {}
        /// Runs an entry until SIGTERM or SIGINT asks for a planned stop.
        cmd entry {
            /// The settings file; without it the one that the platform names.
            optional --settings settings: PathBuf
        }
        /// Runs the agent of a target host until SIGTERM or SIGINT asks for a planned stop.
        cmd agent {
            /// The settings file; without it the one that the platform names.
            optional --settings settings: PathBuf
        }
        /// Asks an entry and gives it commands; without --execute and --file it shows a prompt.
        cmd ctl {
            /// The operators' address of an entry, IP:PORT.
            optional --entry entry: String
            /// The file with the operator's token; FULMARLINE_TOKEN_FILE otherwise.
            optional --token-file token_file: PathBuf
            /// One statement, see docs/COMMANDS.md.
            optional -e, --execute execute: String
            /// A file with one statement a line.
            optional --file file: PathBuf
            /// Prints answers as JSON.
            optional --json
            /// Seconds to wait until a command is in force on every host.
            optional --wait wait: u64
            /// Id of the command, to repeat one whose outcome is not known.
            optional --id id: String
            /// Prints the completion script of a shell (bash).
            optional --completion completion: String
        }
        /// Tells the story of one request from the logs of several processes.
        cmd explain {
            /// Id of the request.
            required --request request: String
            /// Files with log lines, in any order.
            repeated files: PathBuf
        }
        /// Checks a settings file and starts nothing.
        cmd check {
            /// The settings file; one that ends in .toml is taken for the platform's.
            required file: PathBuf
        }
    }
}

//! The command line.

// The macro generates items without doc comments.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Distributes model weights to many hosts, routes requests and executes operators' commands.
    ///
    /// Exit codes: 0 success; 1 failure; 2 invalid arguments or settings, nothing was started;
    /// 3 the command was refused, nothing was applied; 4 the outcome of the command is unknown.
    cmd fulmarline {
        /// Prints the version.
        optional --version

        /// Prints an error message, since a command is required.
        default cmd overview {}
        /// Runs an entry until SIGTERM or SIGINT requests a planned stop.
        cmd entry {
            /// The settings file; by default the one that the platform names.
            optional --settings settings: PathBuf
        }
        /// Runs the agent of a target host until SIGTERM or SIGINT requests a planned stop.
        cmd agent {
            /// The settings file; by default the one that the platform names.
            optional --settings settings: PathBuf
        }
        /// Sends queries and commands to an entry; without --execute and --file, reads them from a prompt.
        cmd ctl {
            /// The address of an entry's listener for operators, IP:PORT.
            optional --entry entry: String
            /// The file with the operator's token; by default the one that FULMARLINE_TOKEN_FILE names.
            optional --token-file token_file: PathBuf
            /// A single statement to execute, see docs/COMMANDS.md.
            optional -e, --execute execute: String
            /// A file with one statement per line.
            optional --file file: PathBuf
            /// Prints responses as JSON.
            optional --json
            /// Maximum time in seconds to wait for a command to be in force on every host.
            optional --wait wait: u64
            /// Id of the command, for repeating one whose outcome is unknown.
            optional --id id: String
            /// Prints the completion script for a shell (only bash is supported).
            optional --completion completion: String
        }
        /// Prints the log entries of one request from the logs of several processes, ordered by time.
        cmd explain {
            /// The id of the request.
            required --request request: String
            /// Log files, in any order.
            repeated files: PathBuf
        }
        /// Validates a settings file without starting anything.
        cmd check {
            /// The settings file; a name that ends in .toml denotes one in the platform's format.
            required file: PathBuf
        }
    }
}

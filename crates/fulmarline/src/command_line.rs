//! The command line.

// The macro writes items without doc comments of their own.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Brings weights to many hosts, routes requests and tells operators the truth.
    cmd fulmarline {
        /// Runs an entry.
        cmd entry {
            /// The settings file.
            required --settings settings: PathBuf
        }
        /// Runs the agent of a target host.
        cmd agent {
            /// The settings file.
            required --settings settings: PathBuf
        }
        /// Checks a settings file and starts nothing.
        cmd check {
            /// The settings file.
            required file: PathBuf
        }
        /// Prints the version.
        cmd version {}
    }
}

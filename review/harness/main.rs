//! Stand-ins and cases of the review. Runs the case that the first argument names and writes `record.txt` to the folder that the
//! second one names. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod http;
mod manifest;
mod memory;
mod process;
mod restarted;
mod silent;
mod spoilt;
mod store;
mod weights;

use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// What all cases get.
pub struct Setting {
    /// Root of the repository.
    pub root: PathBuf,
    /// Folder of the case.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let name = words.next().unwrap_or_default();
    let folder = PathBuf::from(words.next().unwrap_or_default());
    let setting = Setting {
        root: folder.join("../.."),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        folder,
    };
    let result = match name.as_str() {
        "manifest" => manifest::run(&setting),
        "restarted" => restarted::run(&setting),
        "silent" => silent::run(&setting),
        "spoilt" => spoilt::run(&setting),
        "memory" => memory::run(&setting),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

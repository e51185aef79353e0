//! The origin is away while a version is declared, so that replicas still have the old one shortly before the bound. One of them is
//! silent for a moment then, and runs requests whose channels have been closed. A trial of part two, no case.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::process::Record;
use crate::weights::{ModelReplica, Origin, VERSION_BOUND};
use crate::{Setting, Verdict};

/// Largest `for_s` of `srv_crash` with `how = "all"` at the service with the origin.
const OUTAGE: Duration = Duration::from_secs(6);

/// Time of a piece of 24,576 bytes at 7.3 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(27);

/// When the replica falls silent, after the acknowledgement, and for how long.
const SILENT_AFTER: Duration = Duration::from_millis(6_550);
const SILENCE: Duration = Duration::from_millis(1_500);

const DAY: Duration = Duration::from_secs(16);

/// Runs the trial. Its folder is `target/review`.
pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(&setting.folder)?);
    let origin = Arc::new(Origin {
        record: record.clone(),
        spoilt_manifests: Mutex::new(0),
        answers: Mutex::new(0),
        outage: Mutex::new((None, PIECE_TIME)),
    });
    let origin_address = origin.start([127, 0, 4, 1])?;
    let mut replicas = Vec::new();
    for index in 0..3 {
        let ip = [127, 0, 2, 11 + index];
        let id = format!("i-model-{index}");
        replicas.push(ModelReplica::start(
            &id,
            ip,
            record.clone(),
            Box::new(|_, _| {}),
        )?);
    }
    let fleet = Fleet::start(&setting.root, &record, origin_address, &replicas, 2)?;
    std::thread::sleep(Duration::from_secs(3));

    let started = Instant::now();
    let mut requesters = Vec::new();
    for index in 0..12 {
        let front = fleet.fronts[index % fleet.fronts.len()];
        let record = record.clone();
        requesters.push(std::thread::spawn(move || {
            let mut channel = None;
            let mut number = 0;
            while started.elapsed() < DAY {
                number += 1;
                let id = format!("draft-{index}-{number}");
                let head = fleet::head("/draft/1", &id, 6000);
                record.line(&format!("sent     {id}"));
                let status = fleet::exchange(&mut channel, front, &head);
                record.line(&format!("answer   {id} {status:?}"));
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    origin.outage.lock().unwrap().0 = Some(Instant::now() + OUTAGE);
    record.line("the origin is down for 6 s");
    let text = "{\"model\":\"model-0\",\"version\":2}";
    fleet.store.put("op", "version/model-0", text);
    let acknowledged = Instant::now();
    record.line("version 2 is acknowledged");
    for replica in &replicas {
        *replica.declared.lock().unwrap() = Some(acknowledged);
    }
    if setting.trouble {
        let from = acknowledged + SILENT_AFTER;
        *replicas[0].silence.lock().unwrap() = Some((from, from + SILENCE));
        record.line("i-model-0 will be silent from 6.55 s to 8.05 s after the acknowledgement");
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let mut late = 0;
    for replica in &replicas {
        late += replica.late_begins.lock().unwrap().len();
        let version = replica.state.lock().unwrap().version;
        record.line(&format!("{}: version {version}", replica.id));
    }
    record.line(&format!(
        "requests that began on version 1 later than {} ms after the acknowledgement: {late}",
        VERSION_BOUND.as_millis()
    ));
    record.line(if late > 0 { "VERSION broken" } else { "held" });
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

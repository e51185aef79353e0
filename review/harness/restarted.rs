//! An agent is killed and started again shortly before a version is declared; one of the pieces that lie at its replica has turned
//! bad long before.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::process::{Record, SIGKILL};
use crate::weights::{ModelReplica, Origin, SHARED_PIECES};
use crate::{Setting, Verdict};

/// The piece that turns bad. Version 2 has the same one.
const SPOILT_PIECE: usize = 8;

/// Number of pieces that version 2 has in common with version 1.
const SHARED: usize = 90;

const DAY: Duration = Duration::from_secs(25);

pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    SHARED_PIECES.store(SHARED, Ordering::Relaxed);
    let record = Arc::new(Record::create(&setting.folder)?);
    let origin = Arc::new(Origin {
        record: record.clone(),
        spoilt_manifests: Mutex::new(0),
        answers: Mutex::new(0),
        outage: Mutex::default(),
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
    let mut fleet = Fleet::start(&setting.root, &record, origin_address, &replicas, 2)?;
    std::thread::sleep(Duration::from_secs(3));

    let started = Instant::now();
    let mut requesters = Vec::new();
    for index in 0..16 {
        let front = fleet.fronts[index % fleet.fronts.len()];
        let record = record.clone();
        requesters.push(std::thread::spawn(move || {
            let mut channel = None;
            let mut number = 0;
            while started.elapsed() < DAY {
                number += 1;
                let id = format!("draft-{index}-{number}");
                let head = fleet::head("/draft/1", &id, 1500);
                let status = fleet::exchange(&mut channel, front, &head);
                record.line(&format!("answer   {id} {status:?}"));
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    if setting.trouble {
        let mut state = replicas[0].state.lock().unwrap();
        if let Some(bytes) = state.staged.get_mut(&SPOILT_PIECE) {
            bytes[0] ^= 1;
        }
        state.spoilt_at.insert(SPOILT_PIECE, Instant::now());
        record.line(&format!(
            "staged piece {SPOILT_PIECE} at i-model-0 turns bad"
        ));
    }
    std::thread::sleep(Duration::from_secs(6));
    if setting.trouble {
        record.line("the agent of i-model-0 is killed");
        fleet.agents[0].signal(SIGKILL);
        fleet.agents[0].end();
        std::thread::sleep(Duration::from_millis(500));
        fleet.agents[0] = fleet.start_agent(0)?;
        record.line("the agent of i-model-0 is started again");
    }
    std::thread::sleep(Duration::from_millis(1_200));
    record.line("operator declares version 2");
    fleet.store.put(
        "op",
        "version/model-0",
        "{\"model\":\"model-0\",\"version\":2}",
    );
    for requester in requesters {
        let _ = requester.join();
    }
    let mut tokens = 0;
    for replica in &replicas {
        let state = replica.state.lock().unwrap();
        tokens += state.layers.len();
        record.line(&format!(
            "{}: version {}, faults of its layers {:?}",
            replica.id, state.version, state.bad_layers
        ));
        if state.version != 2 {
            return Err(std::io::Error::other(
                "a replica has not loaded the version",
            ));
        }
    }
    for line in fleet.log("side-0").lines() {
        record.line(&format!("log of side-0: {line}"));
    }
    record.line(&format!("requests that ran with such layers: {tokens}"));
    record.line(if tokens > 0 { "WHOLE broken" } else { "held" });
    Ok(if tokens > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

//! The origin spoils two of its answers, the manifests of a version, and is sound from then on.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::process::Record;
use crate::weights::{ModelReplica, Origin};
use crate::{Setting, Verdict};

const DAY: Duration = Duration::from_secs(60);

/// Requests served and sent, by kind.
type Counts = BTreeMap<&'static str, (u32, u32)>;

pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(&setting.folder)?);
    let spoilt = std::env::var("SPOILT")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(2);
    let origin = Arc::new(Origin {
        record: record.clone(),
        spoilt_manifests: Mutex::new(if setting.trouble { spoilt } else { 0 }),
        answers: Mutex::new(0),
        outage: Mutex::default(),
    });
    let origin_address = origin.start([127, 0, 4, 1])?;
    let mut replicas = Vec::new();
    for index in 0..3 {
        let ip = [127, 0, 2, 11 + index];
        let replica = ModelReplica::start(
            &format!("i-model-{index}"),
            ip,
            record.clone(),
            Box::new(|_, _| {}),
        )?;
        replicas.push(replica);
    }
    let fleet = Fleet::start(&setting.root, &record, origin_address, &replicas, 2)?;
    std::thread::sleep(Duration::from_secs(3));

    let counts: Arc<Mutex<Counts>> = Arc::default();
    let late: Arc<Mutex<Counts>> = Arc::default();
    let started = Instant::now();
    let declared = started + Duration::from_secs(1);
    let mut requesters = Vec::new();
    // Eight requesters of orders, two of streams: each sends two requests a second.
    for index in 0..10 {
        let (kind, path) = if index < 8 {
            ("order-commit", "/order/1")
        } else {
            ("catalogue-draft", "/draft/1")
        };
        let front = fleet.fronts[index % fleet.fronts.len()];
        let (counts, late, record) = (counts.clone(), late.clone(), record.clone());
        requesters.push(std::thread::spawn(move || {
            let mut channel = None;
            let mut number = 0;
            while started.elapsed() < DAY {
                number += 1;
                let id = format!("{kind}-{index}-{number}");
                let status = fleet::exchange(&mut channel, front, &fleet::head(path, &id, 1500));
                let is_served = u32::from(status == Some(200));
                record.line(&format!("answer   {id} {status:?}"));
                let add = |counts: &Mutex<Counts>| {
                    let mut counts = counts.lock().unwrap();
                    let count = counts.entry(kind).or_default();
                    *count = (count.0 + is_served, count.1 + 1);
                };
                add(&counts);
                if started.elapsed() > Duration::from_secs(30) {
                    add(&late);
                }
                std::thread::sleep(Duration::from_millis(500));
            }
        }));
    }
    std::thread::sleep(declared.saturating_duration_since(Instant::now()));
    record.line("operator declares version 2");
    fleet.store.put(
        "op",
        "version/model-0",
        "{\"model\":\"model-0\",\"version\":2}",
    );
    let answers_before = *origin.answers.lock().unwrap();
    std::thread::sleep(Duration::from_secs(8));
    let answers = *origin.answers.lock().unwrap() - answers_before;
    record.line(&format!(
        "answers of the origin in the 8 s after it: {answers}"
    ));
    for requester in requesters {
        let _ = requester.join();
    }
    let versions: Vec<u64> = replicas
        .iter()
        .map(|it| it.state.lock().unwrap().version)
        .collect();
    let counts = counts.lock().unwrap();
    let (served, sent) = counts
        .values()
        .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let share = |it: (u32, u32)| f64::from(it.0) / f64::from(it.1.max(1));
    let all = share((served, sent));
    let drafts = share(counts.get("catalogue-draft").copied().unwrap_or_default());
    record.line(&format!("over the day, served of sent: {counts:?}"));
    record.line(&format!(
        "later than 30 s, served of sent: {:?}",
        late.lock().unwrap()
    ));
    record.line(&format!("versions that the replicas hold: {versions:?}"));
    let is_broken = drafts < all / 4.0;
    record.line(&format!(
        "catalogue-draft is served in {:.1}% of cases, all in {:.1}%: {}",
        100.0 * drafts,
        100.0 * all,
        if is_broken { "Starved broken" } else { "held" }
    ));
    if is_broken {
        for index in 0..replicas.len() {
            for line in fleet.log(&format!("side-{index}")).lines().rev().take(2) {
                record.line(&format!("log of side-{index}: {line}"));
            }
        }
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

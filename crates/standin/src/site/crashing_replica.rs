//! A model replica that crashes on a part of a prompt and starts again.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::StandinRuntime;
use crate::site::replica_faults::{ReplicaFaults, ReplicaKind};
use crate::site::site_replica::SiteReplica;
use crate::site::site_store::SiteStore;
use crate::site::site_weights::SiteWeights;

/// What several crashing replicas have in common.
#[derive(Clone, Debug)]
pub struct CrashPlan {
    /// Service of the replicas.
    pub service: &'static str,
    /// Id of the part that crashes a replica.
    pub part: &'static str,
    /// Time from a crash to the next start.
    pub restart_after: Duration,
    /// Store in which the replicas are registered.
    pub store: SiteStore,
    /// Crashes of all replicas.
    pub log: CrashLog,
}

/// Crashes of replicas in order; clones share the log.
#[derive(Clone, Debug, Default)]
pub struct CrashLog(Arc<Mutex<Vec<Instant>>>);

impl CrashLog {
    /// Returns the times of all crashes.
    pub fn times(&self) -> Vec<Instant> {
        self.lock().clone()
    }

    fn record(&self) {
        self.lock().push(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock of the log")
    }
}

/// A replica whose process ends in a crash: its connections break, and its host refuses new ones until it starts again
/// under a new id.
#[derive(Debug)]
pub struct CrashingReplica {
    crashes: Sender<()>,
    lives: Arc<Mutex<Vec<SiteReplica>>>,
}

impl CrashingReplica {
    /// Starts the replica `name` on the host `ip` and registers it in `zone`. It runs until the test process ends.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(name: &str, ip: [u8; 4], zone: &str, plan: &CrashPlan) -> std::io::Result<Self> {
        let (crashes, received) = mpsc::channel();
        let lives = Arc::<Mutex<Vec<SiteReplica>>>::default();
        let mut supervisor = Supervisor {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address: (ip, 0).into(),
            plan: plan.clone(),
            crashes: crashes.clone(),
            lives: lives.clone(),
        };
        let runtime = supervisor.start_life()?;
        std::thread::spawn(move || supervisor.run(runtime, &received));
        Ok(Self { crashes, lives })
    }

    /// Ends the replica as an accident would.
    pub fn crash(&self) {
        // The supervisor runs until the test process ends.
        let _ = self.crashes.send(());
    }

    /// Returns the number of requests that ran in all lives.
    pub fn runs(&self) -> u64 {
        let lives = lock_lives(&self.lives);
        lives.iter().flat_map(|it| it.runs().into_values()).sum()
    }

    /// Returns whether a request with the id `request` ran in any life.
    pub fn has_run(&self, request: &str) -> bool {
        let lives = lock_lives(&self.lives);
        lives.iter().any(|it| it.runs().contains_key(request))
    }
}

/// Ends the replica at each crash and starts it again.
struct Supervisor {
    name: String,
    zone: String,
    address: SocketAddr,
    plan: CrashPlan,
    crashes: Sender<()>,
    lives: Arc<Mutex<Vec<SiteReplica>>>,
}

impl Supervisor {
    fn run(&mut self, mut runtime: StandinRuntime, received: &Receiver<()>) {
        while received.recv().is_ok() {
            self.plan.log.record();
            drop(runtime);
            std::thread::sleep(self.plan.restart_after);
            // Further requests that made the same life crash are no crash of the next one.
            while received.try_recv().is_ok() {}
            let id = self.life_id();
            runtime = self
                .start_life()
                .expect("the address of the replica is free");
            self.plan.store.remove("servers", &id);
        }
    }

    /// Returns the id of the current life.
    fn life_id(&self) -> String {
        format!("{}-{}", self.name, lock_lives(&self.lives).len())
    }

    fn start_life(&mut self) -> std::io::Result<StandinRuntime> {
        let id = format!("{}-{}", self.name, lock_lives(&self.lives).len() + 1);
        let runtime = StandinRuntime::new(1)?;
        let weights = SiteWeights {
            pieces: 1,
            piece_bytes: 1,
            shared_pieces: 0,
        };
        let kind = ReplicaKind::Model { version: 1 };
        let crashes = Some(self.crashes.clone());
        let replica =
            SiteReplica::start_with_crashes(&runtime, &id, self.address, kind, weights, crashes)?;
        replica.set_faults(ReplicaFaults {
            crash_part: Some(self.plan.part),
            ..ReplicaFaults::default()
        });
        self.address = replica.address();
        let mut row = replica.row(self.plan.service, &self.zone, "ready");
        row["born"] = unix_millis().into();
        lock_lives(&self.lives).push(replica);
        self.plan.store.put("servers", &id, &row);
        Ok(runtime)
    }
}

fn lock_lives(lives: &Mutex<Vec<SiteReplica>>) -> MutexGuard<'_, Vec<SiteReplica>> {
    lives
        .lock()
        .expect("no thread panics while it holds the lock of the lives")
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

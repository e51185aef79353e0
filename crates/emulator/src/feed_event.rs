//! Events of the emulation of feeds and declarations.

use std::rc::Rc;
use std::time::Duration;

use fleet::{DeclaredWeights, FeedResponse};

use crate::peer_exchange::PeerDatagram;
use crate::simulated_store::{FeedRequest, StorePage, StoreRow};

/// An event of the emulation of feeds.
#[derive(Debug)]
pub(crate) enum FeedEvent {
    Change,
    /// An entry tells its zone that it is alive, periodically or after a change.
    Heartbeat(usize),
    UrgentHeartbeat(usize),
    /// The reporter of a zone tells others which entries it has.
    Roster(usize),
    Peers(usize, Rc<PeerDatagram>),
    Next(usize),
    /// A request arrives at the store.
    StoreCall(FeedRequest),
    /// The store evaluates a request.
    StoreRead(FeedRequest),
    /// The store answers a request that it holds.
    StoreDeadline(FeedRequest),
    /// A request arrives at an entry.
    EntryCall(usize, FeedRequest),
    /// The entry answers a request that it holds.
    EntryDeadline(usize, FeedRequest),
    Rows(usize, u64, StorePage),
    Relayed(usize, u64, Box<FeedResponse>),
    /// The entry that was asked has no copy yet.
    NotReady(usize, u64),
    TimedOut(usize, u64),
    /// The response of the store to a call is late.
    Overdue(usize, u64),
    /// The store has refused a call.
    Refused(usize, u64),
    Thaw(usize),
    /// A version of weights is declared.
    Declare(u64),
    StoreLost,
    StoreBack,
    /// The operator writes rows again which the store has lost.
    Rewrite(Vec<StoreRow>),
    /// An entry tells others which declarations it knows.
    SendDeclarations(usize),
    /// A zone tells the others.
    SendReport(usize),
    Datagram(usize, Rc<DeclarationDatagram>),
    /// A reader requests the changes of the replicas' table.
    ReplicaCall(usize),
    /// The store holds no change of it, and answers.
    ReplicaRead(usize, Duration),
    /// The answer arrives, to a request that was sent at a time since boot.
    ReplicaPage(usize, Duration, StorePage),
    /// The deadlines of an entry are looked at.
    Judge(usize),
    /// The bound of a declaration has passed.
    BoundPassed(usize, u64),
}

/// Declarations that an entry sends to others.
#[derive(Debug)]
pub(crate) struct DeclarationDatagram {
    pub(crate) declarations: Vec<DeclaredWeights>,
    /// Zone that reports to others, or `None` between the entries of a zone.
    pub(crate) reporting_zone: Option<usize>,
}

impl FeedEvent {
    /// Returns the entry whose process handles the event.
    pub(crate) fn entry(&self) -> Option<usize> {
        match self {
            Self::Next(entry)
            | Self::Heartbeat(entry)
            | Self::UrgentHeartbeat(entry)
            | Self::Roster(entry)
            | Self::Peers(entry, _)
            | Self::EntryCall(entry, _)
            | Self::EntryDeadline(entry, _)
            | Self::Rows(entry, ..)
            | Self::Relayed(entry, ..)
            | Self::NotReady(entry, _)
            | Self::TimedOut(entry, _)
            | Self::Overdue(entry, _)
            | Self::Refused(entry, _)
            | Self::SendDeclarations(entry)
            | Self::SendReport(entry)
            | Self::Datagram(entry, _)
            | Self::ReplicaCall(entry)
            | Self::ReplicaPage(entry, ..)
            | Self::Judge(entry)
            | Self::BoundPassed(entry, _) => Some(*entry),
            Self::Change
            | Self::StoreCall(_)
            | Self::StoreRead(_)
            | Self::StoreDeadline(_)
            | Self::Thaw(_)
            | Self::Declare(_)
            | Self::StoreLost
            | Self::ReplicaRead(..)
            | Self::StoreBack
            | Self::Rewrite(_) => None,
        }
    }
}

//! Who fetches which piece of weights from whom.

use std::net::SocketAddr;

use crate::load_board::replica_hash;

/// An agent that takes part in the exchange of pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceHolder {
    /// Where its pieces are served; it also is its identity.
    pub address: SocketAddr,
    /// Region that it is in.
    pub region: String,
    /// Whether its replica already serves the version.
    pub complete: bool,
}

/// Where a piece can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// The origin of the weights.
    Origin,
    /// Another agent.
    Agent(SocketAddr),
}

/// The order of sources for each piece, the same on every agent with the same view.
///
/// Each piece has one agent that fetches it from the origin and one agent in each region that brings it there; all
/// others take it inside their region. Agents are ranked for each piece by rendezvous hashing, so the upload is spread
/// evenly and the next in rank takes over when one is lost.
#[derive(Clone, Debug)]
pub struct FetchPlan {
    own: SocketAddr,
    region: String,
    holders: Vec<PieceHolder>,
}

impl FetchPlan {
    /// Plans for the agent at `own` among `holders`, which may contain it.
    pub fn new(own: SocketAddr, region: &str, holders: Vec<PieceHolder>) -> Self {
        let mut holders = holders;
        if !holders.iter().any(|it| it.address == own) {
            holders.push(PieceHolder {
                address: own,
                region: region.to_owned(),
                complete: false,
            });
        }
        Self {
            own,
            region: region.to_owned(),
            holders,
        }
    }

    /// Returns the sources of piece `index` in the order in which they are to be tried.
    pub fn sources(&self, index: usize) -> Vec<PieceSource> {
        let near = self.ranked(index, |it| it.region == self.region);
        let all = self.ranked(index, |_| true);
        let has_complete_near = near.iter().any(|it| it.complete);
        let has_complete = all.iter().any(|it| it.complete);
        let brings_here = near.first().is_some_and(|it| it.address == self.own);
        let is_first = all.first().is_some_and(|it| it.address == self.own);

        let mut sources = Vec::new();
        let push = |sources: &mut Vec<PieceSource>, list: &[&PieceHolder], complete: bool| {
            for holder in list.iter().filter(|it| it.complete == complete) {
                let source = PieceSource::Agent(holder.address);
                if holder.address != self.own && !sources.contains(&source) {
                    sources.push(source);
                }
            }
        };
        if has_complete_near {
            push(&mut sources, &near, true);
        } else if brings_here && has_complete {
            push(&mut sources, &all, true);
        } else if is_first {
            sources.push(PieceSource::Origin);
        } else if brings_here {
            push(&mut sources, &all[..1], false);
        } else {
            push(&mut sources, &near[..1], false);
        }
        if !sources.contains(&PieceSource::Origin) {
            push(&mut sources, &all, true);
        }
        // The last resorts: other agents nearby that may have it by now, then the origin.
        let others = near.len().min(MAX_NEAR_SOURCES);
        push(&mut sources, &near[..others], false);
        if !sources.contains(&PieceSource::Origin) {
            sources.push(PieceSource::Origin);
        }
        sources
    }

    /// Says whether this agent is the one that brings piece `index` into its region.
    pub fn brings(&self, index: usize) -> bool {
        let near = self.ranked(index, |it| it.region == self.region);
        near.first().is_some_and(|it| it.address == self.own)
    }

    fn ranked(&self, index: usize, keep: impl Fn(&PieceHolder) -> bool) -> Vec<&PieceHolder> {
        let mut list: Vec<_> = self.holders.iter().filter(|it| keep(it)).collect();
        list.sort_by_key(|it| replica_hash(&format!("{}/{index}", it.address)));
        list
    }
}

/// Agents nearby that are asked for a piece before the origin is.
const MAX_NEAR_SOURCES: usize = 4;

//! Plans from which source each agent fetches each piece of weights.

use std::net::SocketAddr;

/// An agent that takes part in the transfer of pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PiecePeer {
    /// Address that serves its pieces; it also identifies the agent.
    pub address: SocketAddr,
    /// Region of the agent.
    pub region: String,
    /// Whether its replica already serves the version, so that it has all pieces.
    pub complete: bool,
}

/// A source from which a piece can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// The origin of the weights.
    Origin,
    /// An agent that has the piece, according to the list of replicas.
    Holder(SocketAddr),
    /// An agent that is fetching the piece too. It ranks before this one, so waiting for it cannot deadlock.
    Fetcher(SocketAddr),
}

/// Limits on the use of the origin of the weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginAccess {
    /// Number of agents that fetch from it; it accepts few connections.
    pub clients: usize,
    /// Region of the origin, if known. Only agents of that region are assigned to it, so that the only traffic between
    /// regions is one copy for each other region.
    pub region: Option<String>,
}

/// The order of sources for each piece; agents with the same list of peers compute consistent plans.
///
/// For each piece, one agent fetches it from the origin and one agent per region copies it to that region; all others
/// fetch it inside their region. Pieces are assigned round-robin rather than by rendezvous hashing, whose uneven
/// shares would make the busiest uplink take half as long again. If an agent fails, the next in rank takes over.
#[derive(Clone, Debug)]
pub struct FetchPlan {
    own: SocketAddr,
    region: String,
    peers: Vec<PiecePeer>,
    origin: OriginAccess,
}

impl FetchPlan {
    /// Creates the plan of the agent at `own` with `peers`, which may contain the agent itself.
    pub fn new(own: SocketAddr, region: &str, peers: Vec<PiecePeer>, origin: OriginAccess) -> Self {
        let mut peers = peers;
        if !peers.iter().any(|it| it.address == own) {
            peers.push(PiecePeer {
                address: own,
                region: region.to_owned(),
                complete: false,
            });
        }
        Self {
            own,
            region: region.to_owned(),
            peers,
            origin,
        }
    }

    /// Returns the sources of piece `index` in the order in which they are tried in round `round`.
    ///
    /// An agent waits only for agents that rank before it, so waits cannot form a cycle. In the first round, one agent
    /// fetches the piece from the origin, one per region copies it to the region, and the others of the region wait for
    /// that one. Each further round lets one more agent of the ranking use other sources. If all agents switched at
    /// once when a source is late, the links between regions would carry a copy for each of them, and the origin would
    /// refuse the agent that all others wait for.
    pub fn sources(&self, index: usize, round: usize) -> Vec<PieceSource> {
        let in_region = self.ranked_in(&self.region, index, |_| true);
        let all = self.ranked(index, |_| true);
        let region_rank = self.ranked_before_self(&in_region).len();
        let rank = self.ranked_before_self(&all).len();
        // Agents that start at the same time fetch the same piece from different holders.
        let offset = index + self.own_position() + round * MAX_CANDIDATES;
        let is_source = |it: &PiecePeer| it.complete && it.address != self.own;
        let may_cross_regions = round >= region_rank;
        let mut sources = Vec::new();
        let holders = self.ranked_in(&self.region, offset, is_source);
        let other_holders = self.ranked(offset, |it| is_source(it) && may_cross_regions);
        for ranking in [&holders, &other_holders] {
            for holder in ranking.iter().take(MAX_CANDIDATES) {
                push_unique(&mut sources, PieceSource::Holder(holder.address));
            }
        }
        // The agent that fetches the piece from the origin does not wait for others.
        if rank > 0 {
            let others = all[..rank].iter().filter(|_| may_cross_regions);
            let fetchers = in_region[..region_rank].iter().take(MAX_CANDIDATES);
            for fetcher in fetchers.chain(others.take(MAX_CANDIDATES)) {
                push_unique(&mut sources, PieceSource::Fetcher(fetcher.address));
            }
        }
        if round >= rank {
            sources.push(PieceSource::Origin);
        }
        sources
    }

    /// Returns the sources of the manifest in the order in which they are tried.
    ///
    /// One agent fetches the manifest from the origin and one agent of each other region fetches it from that agent.
    /// Inside a region it is distributed along a tree, because many copies would occupy the uplink of a single agent
    /// for long.
    pub fn manifest_sources(&self) -> Vec<PieceSource> {
        let has_complete = self.peers.iter().any(|it| it.complete);
        let root = self.origin_client(MANIFEST_INDEX, |it| it.complete || !has_complete);
        if root == Some(self.own) {
            return vec![PieceSource::Origin];
        }
        let mut in_region = self.ranked_in(&self.region, MANIFEST_INDEX, |_| true);
        in_region.sort_by_key(|it| (Some(it.address) != root, !it.complete));
        let rank = in_region.iter().position(|it| it.address == self.own);
        let mut rank = rank.unwrap_or(in_region.len());
        let may_use_origin = rank <= 1 || self.is_origin_client();
        let mut sources = Vec::new();
        while rank > 0 {
            rank = (rank - 1) / MANIFEST_FANOUT;
            sources.push(PieceSource::Fetcher(in_region[rank].address));
        }
        if let Some(root) = root {
            push_unique(&mut sources, PieceSource::Fetcher(root));
        }
        if may_use_origin {
            sources.push(PieceSource::Origin);
        }
        sources
    }

    /// Returns whether this agent is one of those that fetch pieces from the origin.
    fn is_origin_client(&self) -> bool {
        (0..self.origin.clients.max(1)).any(|it| self.origin_client(it, |_| true) == Some(self.own))
    }

    fn own_position(&self) -> usize {
        let own = self.peers.iter().position(|it| it.address == self.own);
        own.unwrap_or(0)
    }

    /// Returns the position of this agent in the order in which replicas load weights, in 0..1. Adjacent positions
    /// belong to different regions if possible.
    pub fn rollout_position(&self) -> f64 {
        let mut positions: Vec<_> = self
            .peers
            .iter()
            .map(|it| {
                let list = self.ranked_in(&it.region, 0, |_| true);
                let rank = list
                    .iter()
                    .position(|other| other.address == it.address)
                    .unwrap_or(0);
                (rank as f64 / list.len() as f64, it.address)
            })
            .collect();
        positions.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let own = positions
            .iter()
            .position(|it| it.1 == self.own)
            .unwrap_or(0);
        own as f64 / positions.len() as f64
    }

    /// Returns whether this agent is the one that copies piece `index` to its region.
    pub fn fetches_for_region(&self, index: usize) -> bool {
        let in_region = self.ranked_in(&self.region, index, |_| true);
        in_region.first().is_some_and(|it| it.address == self.own)
    }

    /// Returns the part of a ranking that precedes this agent.
    fn ranked_before_self<'a, 'b>(&self, ranked: &'a [&'b PiecePeer]) -> &'a [&'b PiecePeer] {
        let own = ranked.iter().position(|it| it.address == self.own);
        &ranked[..own.unwrap_or(ranked.len())]
    }

    /// Ranks the agents of one region that match `filter`; the first one copies the piece to the region.
    fn ranked_in(
        &self,
        region: &str,
        index: usize,
        filter: impl Fn(&PiecePeer) -> bool,
    ) -> Vec<&PiecePeer> {
        let mut list: Vec<_> = self
            .peers
            .iter()
            .filter(|it| it.region == region && filter(it))
            .collect();
        rotate(&mut list, index);
        list
    }

    /// Ranks the agents that match `filter`; the first one fetches the piece from the origin.
    ///
    /// The other agents are interleaved: the first of each region, then the second of each region, and so on. This
    /// order is consistent with the rankings of the regions, so waits along either ranking cannot form a cycle.
    fn ranked(&self, index: usize, filter: impl Fn(&PiecePeer) -> bool + Copy) -> Vec<&PiecePeer> {
        let mut list: Vec<_> = self.peers.iter().filter(|it| filter(it)).collect();
        rotate(&mut list, index);
        let mut regions: Vec<&str> = Vec::new();
        for peer in list {
            if !regions.contains(&peer.region.as_str()) {
                regions.push(&peer.region);
            }
        }
        let in_regions: Vec<Vec<&PiecePeer>> = regions
            .iter()
            .map(|it| self.ranked_in(it, index, filter))
            .collect();
        let longest = in_regions.iter().map(Vec::len).max().unwrap_or(0);
        let mut ranked: Vec<_> = (0..longest)
            .flat_map(|rank| in_regions.iter().filter_map(move |it| it.get(rank)))
            .copied()
            .collect();
        if let Some(first) = self.origin_client(index, filter) {
            ranked.retain(|it| it.address != first);
            ranked.splice(0..0, self.peers.iter().filter(|it| it.address == first));
        }
        ranked
    }

    /// Returns the agent that fetches piece `index` from the origin; the origin clients are assigned round-robin.
    fn origin_client(
        &self,
        index: usize,
        filter: impl Fn(&PiecePeer) -> bool,
    ) -> Option<SocketAddr> {
        let is_near = |it: &PiecePeer| Some(&it.region) == self.origin.region.as_ref();
        let matching = || self.peers.iter().filter(|it| filter(it));
        let has_near = matching().any(is_near);
        let mut list: Vec<SocketAddr> = matching()
            .filter(|it| !has_near || is_near(it))
            .map(|it| it.address)
            .collect();
        list.sort_unstable();
        let clients = self.origin.clients.max(1).min(list.len());
        if clients == 0 {
            return None;
        }
        list.get((index % clients) * list.len() / clients).copied()
    }
}

fn rotate(list: &mut [&PiecePeer], index: usize) {
    list.sort_by_key(|it| it.address);
    if !list.is_empty() {
        list.rotate_left(index % list.len());
    }
}

fn push_unique(sources: &mut Vec<PieceSource>, source: PieceSource) {
    if !sources.contains(&source) {
        sources.push(source);
    }
}

/// Piece index that is used to rank agents for the manifest.
const MANIFEST_INDEX: usize = 0;

/// Number of agents that fetch the manifest from the same agent. The manifest is small, so a few copies do not delay
/// pieces.
const MANIFEST_FANOUT: usize = 4;

/// Number of agents of one ranking that are tried before the next ranking or the origin; more rarely fail together.
const MAX_CANDIDATES: usize = 3;

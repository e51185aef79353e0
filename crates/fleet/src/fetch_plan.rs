//! Who fetches which piece of weights from whom.

use std::net::SocketAddr;

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
    /// An agent that has it, or had when it was last listed.
    Holder(SocketAddr),
    /// An agent that fetches it as well and ranks before this one, so that it can be waited for.
    Fetcher(SocketAddr),
}

/// How the origin of the weights may be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginAccess {
    /// Agents that fetch from it; it accepts few connections.
    pub clients: usize,
    /// Region that it is in, where that is known. Agents of that region fetch from it, so that its bytes cross no link between
    /// regions but for the copies that other regions need.
    pub region: Option<String>,
}

/// The order of sources for each piece, the same on every agent with the same view.
///
/// Each piece has one agent that fetches it from the origin and one agent in each region that brings it there; all
/// others take it inside their region. Agents take turns by piece rather than by rendezvous hashing, whose uneven shares
/// would make the busiest uplink half as long again; the next in turn takes over when one is lost.
#[derive(Clone, Debug)]
pub struct FetchPlan {
    own: SocketAddr,
    region: String,
    holders: Vec<PieceHolder>,
    origin: OriginAccess,
}

impl FetchPlan {
    /// Plans for the agent at `own` among `holders`, which may contain it.
    pub fn new(
        own: SocketAddr,
        region: &str,
        holders: Vec<PieceHolder>,
        origin: OriginAccess,
    ) -> Self {
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
            origin,
        }
    }

    /// Returns the sources of piece `index` in the order in which they are to be tried in `round`.
    ///
    /// An agent asks only agents that rank before it, so two never wait for each other. The first round is for what is
    /// usual: one agent fetches a piece from the origin, one in each region brings it there, and the others of the region
    /// wait for that one. The next in rank stands in a round later, and so on: if all turned elsewhere at once when
    /// somebody is late, the links between regions would carry a copy for each, and the origin would refuse the one that
    /// all others wait for.
    pub fn sources(&self, index: usize, round: usize) -> Vec<PieceSource> {
        let near = self.ranked_in(&self.region, index, |_| true);
        let all = self.ranked(index, |_| true);
        let near_place = self.before_own(&near).len();
        let place = self.before_own(&all).len();
        // Agents that start together ask different holders for the same piece.
        let turn = index + self.own_position() + round * MAX_RANKS;
        let is_source = |it: &PieceHolder| it.complete && it.address != self.own;
        let stands_in = round >= near_place;
        let mut sources = Vec::new();
        let holders = self.ranked_in(&self.region, turn, is_source);
        let far_holders = self.ranked(turn, |it| is_source(it) && stands_in);
        for ranking in [&holders, &far_holders] {
            for holder in ranking.iter().take(MAX_RANKS) {
                push_new(&mut sources, PieceSource::Holder(holder.address));
            }
        }
        // Whoever fetches the piece from the origin waits for nobody.
        if place > 0 {
            let far = all[..place].iter().filter(|_| stands_in);
            let fetchers = near[..near_place].iter().take(MAX_RANKS);
            for fetcher in fetchers.chain(far.take(MAX_RANKS)) {
                push_new(&mut sources, PieceSource::Fetcher(fetcher.address));
            }
        }
        if round >= place {
            sources.push(PieceSource::Origin);
        }
        sources
    }

    /// Returns the sources of the manifest in the order in which they are to be tried.
    ///
    /// One agent takes it from the origin, one agent of each other region from that one, and inside a region it goes down
    /// a tree, since the uplink of one agent would carry many copies for long.
    pub fn manifest_sources(&self) -> Vec<PieceSource> {
        let has_complete = self.holders.iter().any(|it| it.complete);
        let first = self.origin_client(MANIFEST_RANK, |it| it.complete || !has_complete);
        if first == Some(self.own) {
            return vec![PieceSource::Origin];
        }
        let mut near = self.ranked_in(&self.region, MANIFEST_RANK, |_| true);
        near.sort_by_key(|it| (Some(it.address) != first, !it.complete));
        let place = near.iter().position(|it| it.address == self.own);
        let mut place = place.unwrap_or(near.len());
        let stands_in = place <= 1 || self.asks_origin();
        let mut sources = Vec::new();
        while place > 0 {
            place = (place - 1) / MANIFEST_FANOUT;
            sources.push(PieceSource::Fetcher(near[place].address));
        }
        if let Some(first) = first {
            push_new(&mut sources, PieceSource::Fetcher(first));
        }
        if stands_in {
            sources.push(PieceSource::Origin);
        }
        sources
    }

    /// Says whether this agent is one of those that fetch from the origin in turn.
    fn asks_origin(&self) -> bool {
        (0..self.origin.clients.max(1)).any(|it| self.origin_client(it, |_| true) == Some(self.own))
    }

    fn own_position(&self) -> usize {
        let own = self.holders.iter().position(|it| it.address == self.own);
        own.unwrap_or(0)
    }

    /// Returns this agent's place among all, in 0..1; neighbours in place are in different regions where possible.
    pub fn turn(&self) -> f64 {
        let mut places: Vec<_> = self
            .holders
            .iter()
            .map(|it| {
                let list = self.ranked_in(&it.region, 0, |_| true);
                let place = list
                    .iter()
                    .position(|other| other.address == it.address)
                    .unwrap_or(0);
                (place as f64 / list.len() as f64, it.address)
            })
            .collect();
        places.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let own = places.iter().position(|it| it.1 == self.own).unwrap_or(0);
        own as f64 / places.len() as f64
    }

    /// Says whether this agent is the one that brings piece `index` into its region.
    pub fn brings(&self, index: usize) -> bool {
        let near = self.ranked_in(&self.region, index, |_| true);
        near.first().is_some_and(|it| it.address == self.own)
    }

    /// Returns the part of a ranking before this agent.
    fn before_own<'a, 'b>(&self, ranked: &'a [&'b PieceHolder]) -> &'a [&'b PieceHolder] {
        let own = ranked.iter().position(|it| it.address == self.own);
        &ranked[..own.unwrap_or(ranked.len())]
    }

    /// Ranks the agents of one region that `keep` lets pass, the one that brings the piece first.
    fn ranked_in(
        &self,
        region: &str,
        index: usize,
        keep: impl Fn(&PieceHolder) -> bool,
    ) -> Vec<&PieceHolder> {
        let mut list: Vec<_> = self
            .holders
            .iter()
            .filter(|it| it.region == region && keep(it))
            .collect();
        rotate(&mut list, index);
        list
    }

    /// Ranks the agents that `keep` lets pass, the one that fetches the piece from the origin first.
    ///
    /// Behind that one, the first agents of all regions come before the second ones and so on, so that this ranking and those of the
    /// regions never contradict each other: agents that wait along either cannot form a ring.
    fn ranked(
        &self,
        index: usize,
        keep: impl Fn(&PieceHolder) -> bool + Copy,
    ) -> Vec<&PieceHolder> {
        let mut list: Vec<_> = self.holders.iter().filter(|it| keep(it)).collect();
        rotate(&mut list, index);
        let mut regions: Vec<&str> = Vec::new();
        for holder in list {
            if !regions.contains(&holder.region.as_str()) {
                regions.push(&holder.region);
            }
        }
        let in_regions: Vec<Vec<&PieceHolder>> = regions
            .iter()
            .map(|it| self.ranked_in(it, index, keep))
            .collect();
        let longest = in_regions.iter().map(Vec::len).max().unwrap_or(0);
        let mut ranked: Vec<_> = (0..longest)
            .flat_map(|place| in_regions.iter().filter_map(move |it| it.get(place)))
            .copied()
            .collect();
        if let Some(first) = self.origin_client(index, keep) {
            ranked.retain(|it| it.address != first);
            ranked.splice(0..0, self.holders.iter().filter(|it| it.address == first));
        }
        ranked
    }

    /// Returns the agent that fetches piece `index` from the origin: one of a few, which take turns.
    fn origin_client(
        &self,
        index: usize,
        keep: impl Fn(&PieceHolder) -> bool,
    ) -> Option<SocketAddr> {
        let near = |it: &PieceHolder| Some(&it.region) == self.origin.region.as_ref();
        let kept = || self.holders.iter().filter(|it| keep(it));
        let has_near = kept().any(near);
        let mut list: Vec<SocketAddr> = kept()
            .filter(|it| !has_near || near(it))
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

fn rotate(list: &mut [&PieceHolder], index: usize) {
    list.sort_by_key(|it| it.address);
    if !list.is_empty() {
        list.rotate_left(index % list.len());
    }
}

fn push_new(sources: &mut Vec<PieceSource>, source: PieceSource) {
    if !sources.contains(&source) {
        sources.push(source);
    }
}

/// Stands for the manifest where agents are ranked by piece.
const MANIFEST_RANK: usize = 0;

/// Agents that take the manifest from the same agent; it is small, so that a few copies hold up no pieces.
const MANIFEST_FANOUT: usize = 4;

/// Agents of one ranking that are asked before the next ranking or the origin; more are seldom lost at once.
const MAX_RANKS: usize = 3;

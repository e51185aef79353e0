//! Determines which agents bring which pieces of weights into a region, and whom each agent asks what it has.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sha2::{Digest, Sha256};

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

/// A source of the manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestSource {
    /// The origin of the weights.
    Origin,
    /// Another agent.
    Agent(SocketAddr),
}

/// The roles of agents in a transfer; agents with the same list of peers compute consistent plans.
///
/// Pieces are divided into [`CLASSES`]. In the region of the origin, the first agent in the ranking of a class fetches
/// its pieces from the origin; in each other region, the first agent copies them from the region of the origin. All
/// others obtain them inside their region from any agent that has them. So the origin and each pair of regions carry
/// about one copy. The next agents in the ranking take over from one that fails.
#[derive(Clone, Debug)]
pub struct FetchPlan {
    own: SocketAddr,
    region: String,
    origin_region: String,
    /// Agents by region, ordered by address.
    regions: BTreeMap<String, Vec<SocketAddr>>,
    /// Agents of each region and class in the order in which they are responsible for the pieces of the class.
    rankings: BTreeMap<String, Vec<Vec<SocketAddr>>>,
    /// Agents whose replicas serve the version, with their regions.
    complete: BTreeMap<SocketAddr, String>,
}

impl FetchPlan {
    /// Creates the plan of the agent at `own` with `peers`, which may contain the agent itself. `origin_region` is the
    /// region of the origin, if known.
    pub fn new(
        own: SocketAddr,
        region: &str,
        peers: Vec<PiecePeer>,
        origin_region: Option<&str>,
    ) -> Self {
        let mut members: BTreeMap<String, BTreeSet<SocketAddr>> = BTreeMap::new();
        members.entry(region.to_owned()).or_default().insert(own);
        let mut complete = BTreeMap::new();
        for peer in peers {
            let addresses = members.entry(peer.region.clone()).or_default();
            addresses.insert(peer.address);
            if peer.complete && peer.address != own {
                complete.insert(peer.address, peer.region);
            }
        }
        let known = origin_region.filter(|it| members.contains_key(*it));
        let first = members.keys().next().map(String::as_str);
        let origin_region = known.or(first).unwrap_or(region).to_owned();
        let regions = members
            .into_iter()
            .map(|(region, addresses)| (region, addresses.into_iter().collect()));
        let regions: BTreeMap<String, Vec<SocketAddr>> = regions.collect();
        let rankings = regions
            .iter()
            .map(|(region, addresses)| (region.clone(), rank_by_class(addresses)));
        Self {
            own,
            region: region.to_owned(),
            origin_region,
            rankings: rankings.collect(),
            regions,
            complete,
        }
    }

    /// Returns whether the agents of the own region fetch from the origin rather than from another region.
    pub fn is_origin_region(&self) -> bool {
        self.region == self.origin_region
    }

    /// Returns the position of this agent in the ranking of `class` in its region; the first one has position 0.
    pub fn own_rank(&self, class: usize) -> usize {
        let mut ranking = self.ranking(&self.region, class);
        ranking
            .position(|it| it == self.own)
            .expect("the plan contains the agent itself")
    }

    /// Returns the agents that precede this one in the ranking of `class` in its region.
    pub fn predecessors(&self, class: usize) -> impl Iterator<Item = SocketAddr> {
        let ranking = self.ranking(&self.region, class);
        ranking.take(self.own_rank(class))
    }

    /// Returns the agents whose pieces this one asks for.
    ///
    /// Inside the region these are the agents at distances 1, 2, 4, 8, … in the order of addresses, so that a piece
    /// spreads in a number of steps that is logarithmic in the number of agents while each agent is asked by few.
    pub fn neighbors(&self) -> BTreeSet<SocketAddr> {
        let in_region = &self.regions[&self.region];
        let position = in_region.binary_search(&self.own);
        let position = position.expect("the plan contains the agent itself");
        let distances = (0..usize::BITS).map(|it| 1_usize << it);
        let distances = distances.take_while(|it| *it < in_region.len());
        let mut neighbors: BTreeSet<_> = distances
            .map(|it| in_region[(position + it) % in_region.len()])
            .collect();
        for class in 0..CLASSES {
            let rank = self.own_rank(class);
            if rank <= MAX_ACTING_RANK {
                neighbors.extend(self.predecessors(class));
            }
            if rank <= MAX_IMPORT_RANK && !self.is_origin_region() {
                let ranking = self.ranking(&self.origin_region, class);
                neighbors.extend(ranking.take(IMPORT_SOURCES));
                // The link of the first agent would carry a copy for each region.
                neighbors.extend(self.ranking(self.next_region(), class).next());
            }
        }
        if !self.is_origin_region() && (0..CLASSES).any(|it| self.own_rank(it) <= MAX_ACTING_RANK) {
            // One that differs from agent to agent, in case the first ones of a ranking are all dead.
            let origin_region = &self.regions[&self.origin_region];
            neighbors.insert(origin_region[position % origin_region.len()]);
        }
        neighbors.remove(&self.own);
        neighbors
    }

    /// Returns the agents whose replicas serve the version; the value tells whether an agent is in the own region.
    pub fn complete(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let complete = self.complete.iter();
        complete.map(|(address, region)| (*address, *region == self.region))
    }

    /// Returns whether the replica of an agent serves the version.
    pub fn is_complete(&self, address: SocketAddr) -> bool {
        self.complete.contains_key(&address)
    }

    /// Returns whether an agent is in the own region.
    pub fn is_in_region(&self, address: SocketAddr) -> bool {
        self.regions[&self.region].binary_search(&address).is_ok()
    }

    /// Returns the sources of the manifest in the order in which they are tried. `attempt` counts earlier attempts.
    ///
    /// Two agents of the origin's region ask the origin and two of each other region ask these, so that no single host
    /// delays all others. Inside a region the agents ask those two and a neighbor.
    pub fn manifest_sources(&self, attempt: usize) -> Vec<ManifestSource> {
        let agent = ManifestSource::Agent;
        let rank = self.own_rank(0);
        let in_region = self.complete().filter(|it| it.1).map(|it| it.0);
        let in_region: Vec<_> = in_region.collect();
        let mut sources = Vec::new();
        if !in_region.is_empty() {
            sources.push(agent(in_region[(attempt + rank) % in_region.len()]));
        }
        if rank < MANIFEST_CLIENTS {
            let first = self.ranking(&self.origin_region, 0).take(MANIFEST_CLIENTS);
            if self.is_origin_region() {
                sources.push(ManifestSource::Origin);
            }
            let mut others: Vec<_> = first.filter(|it| *it != self.own).collect();
            let offset = rank % others.len().max(1);
            others.rotate_left(offset);
            sources.extend(others.into_iter().map(agent));
        } else {
            let mut first: Vec<_> = self.predecessors(0).take(MANIFEST_CLIENTS).collect();
            let offset = (attempt + rank) % first.len().max(1);
            first.rotate_left(offset);
            sources.extend(first.into_iter().map(agent));
            let neighbors: Vec<_> = self.neighbors().into_iter().collect();
            let neighbor = neighbors.get((attempt + rank) % neighbors.len().max(1));
            sources.extend(neighbor.copied().map(agent));
        }
        // The agents that should ask the origin may be dead or cut off from it.
        let is_late = attempt >= MANIFEST_ATTEMPTS * (rank + 1);
        if rank <= MAX_ACTING_RANK && is_late && !sources.contains(&ManifestSource::Origin) {
            sources.push(ManifestSource::Origin);
        }
        sources
    }

    /// Returns the position of this agent in the order in which replicas load weights, in 0..1. Adjacent positions
    /// belong to different regions if possible.
    pub fn rollout_position(&self) -> f64 {
        let mut positions = Vec::new();
        for list in self.regions.values() {
            for (rank, address) in list.iter().enumerate() {
                positions.push((rank as f64 / list.len() as f64, *address));
            }
        }
        positions.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let own = positions.iter().position(|it| it.1 == self.own);
        own.unwrap_or(0) as f64 / positions.len() as f64
    }

    /// Returns the region after the own one in alphabetical order, or the first one after the last.
    fn next_region(&self) -> &str {
        let mut after = self.regions.keys().skip_while(|it| **it != self.region);
        let next = after.nth(1).or_else(|| self.regions.keys().next());
        next.unwrap_or(&self.region)
    }

    fn ranking(&self, region: &str, class: usize) -> impl Iterator<Item = SocketAddr> {
        let classes = self.rankings.get(region);
        let ranking = classes.and_then(|it| it.get(class));
        ranking.into_iter().flatten().copied()
    }
}

/// Ranks agents for each class by a hash, so that agents whose lists differ by a few others agree on the first ones. The
/// agents are the first ones of equally many classes.
fn rank_by_class(addresses: &[SocketAddr]) -> Vec<Vec<SocketAddr>> {
    let mut first = BTreeSet::new();
    let rank = |class: usize| {
        let mut ranking = addresses.to_vec();
        ranking.sort_by_cached_key(|it| Sha256::digest(format!("{class} {it}")));
        if first.len() == ranking.len() {
            first.clear();
        }
        let free = ranking.iter().position(|it| !first.contains(it));
        if let Some(free) = free {
            ranking[..=free].rotate_right(1);
        }
        first.extend(ranking.first().copied());
        ranking
    };
    (0..CLASSES).map(rank).collect()
}

/// Returns the class of a piece.
pub fn piece_class(index: usize) -> usize {
    index % CLASSES
}

/// Number of classes, and so the maximum number of agents that fetch from the origin at the same time. Few are enough
/// to keep its link busy, and each further one makes all transfers slower. More than one is needed because each of
/// them sends its pieces to all regions over its own link.
pub const CLASSES: usize = 6;

/// Last position in a ranking whose agent takes over if all agents before it fail.
pub const MAX_ACTING_RANK: usize = 3;

/// Last position in a ranking whose agent asks agents in other regions what they have.
const MAX_IMPORT_RANK: usize = 1;

/// Number of agents of the origin's region that are asked for the pieces of a class.
const IMPORT_SOURCES: usize = 2;

/// Number of agents of a region that bring the manifest into it.
const MANIFEST_CLIENTS: usize = 2;

/// Number of failed attempts after which the next agent in the ranking asks the origin for the manifest.
const MANIFEST_ATTEMPTS: usize = 4;

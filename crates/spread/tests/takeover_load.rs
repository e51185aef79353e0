//! Compares rendezvous ranking with chained declustering by how evenly the chunks of failed hosts are reassigned.

use expect_test::{Expect, expect};
use model::{ChunkMask, GroupKey, VersionDigest};
use spread::{chunk_seed, rank_names};

/// Removes `failed` neighbouring hosts and checks the mean and the largest number of chunks that a remaining host
/// imports.
fn check(hosts: usize, failed: usize, expected: Expect) {
    let names: Vec<String> = (0..hosts).map(|it| format!("host-{it:03}")).collect();
    let is_failed = |idx: usize| idx < failed;
    let (mut chained, mut rendezvous) = (vec![0; hosts], vec![0; hosts]);
    for chunk in 0..GROUPS as usize * ChunkMask::CHUNKS_PER_GROUP {
        let key = GroupKey {
            version: VersionDigest::from_bytes([7; 32]),
            group: (chunk / ChunkMask::CHUNKS_PER_GROUP) as u32,
            chunks: ChunkMask::CHUNKS_PER_GROUP as u8,
        };
        let seed = chunk_seed(&key, (chunk % ChunkMask::CHUNKS_PER_GROUP) as u8);
        let mut ranking = rank_names(seed, names.iter().map(String::as_str)).into_iter();
        let owner = ranking.find_map(|name| {
            let idx = names.iter().position(|it| it == name)?;
            (!is_failed(idx)).then_some(idx)
        });
        rendezvous[owner.unwrap()] += 1;
        let owner = (0..hosts).map(|step| (chunk + step) % hosts);
        chained[owner.into_iter().find(|&idx| !is_failed(idx)).unwrap()] += 1;
    }
    let most = |loads: &[i32]| loads.iter().max().copied().unwrap_or(0);
    let mean = GROUPS as usize * ChunkMask::CHUNKS_PER_GROUP / (hosts - failed);
    expected.assert_eq(&format!(
        "mean {mean}, chained {}, rendezvous {}",
        most(&chained),
        most(&rendezvous)
    ));
}

const GROUPS: u32 = 16;

#[test]
fn rendezvous_ranking_balances_the_load_of_failed_neighbours() {
    check(33, 0, expect!["mean 31, chained 32, rendezvous 45"]);
    check(33, 1, expect!["mean 32, chained 63, rendezvous 46"]);
    check(33, 3, expect!["mean 34, chained 125, rendezvous 48"]);
    check(350, 35, expect!["mean 3, chained 108, rendezvous 9"]);
}

//! Rendezvous (highest random weight) hashing: processes that know the same members choose the same
//! subset of them for a key.

use model::HostName;

/// Returns the rank of `member` for `key` among `others`; 0 is the highest.
///
/// Adding or removing a member does not change the relative order of the others, so that only the
/// keys assigned to this member are reassigned.
pub fn rendezvous_rank<'a>(
    key: &str,
    member: &HostName,
    others: impl IntoIterator<Item = &'a HostName>,
) -> usize {
    let own = (weight(key, member), member);
    others
        .into_iter()
        .filter(|it| *it != member && (weight(key, it), *it) > own)
        .count()
}

/// Returns `members` sorted by their rank for `key`.
pub fn rendezvous_order<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a HostName>,
) -> Vec<&'a HostName> {
    let mut ranked: Vec<_> = members
        .into_iter()
        .map(|it| (weight(key, it), it))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, it)| it).collect()
}

fn weight(key: &str, member: &HostName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

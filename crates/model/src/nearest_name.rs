//! Finds the name that a mistyped one was meant to be.

/// Returns the candidate nearest to `text`, unless all of them differ too much to be meant.
pub fn nearest_name<'a>(
    text: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let text = text.to_ascii_lowercase();
    let longest_distance = (text.len() / 3).max(1);
    candidates
        .into_iter()
        .map(|it| (distance(&text, &it.to_ascii_lowercase()), it))
        .filter(|(distance, it)| *distance <= longest_distance && *distance < it.len())
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, it)| it)
}

/// Counts the insertions, removals, replacements and swaps of neighbours between two texts.
fn distance(left: &str, right: &str) -> usize {
    let (left, right): (Vec<char>, Vec<char>) = (left.chars().collect(), right.chars().collect());
    let width = right.len() + 1;
    let mut cost = vec![0; (left.len() + 1) * width];
    for row in 0..=left.len() {
        for col in 0..width {
            let at = |row: usize, col: usize| row * width + col;
            cost[at(row, col)] = if row == 0 || col == 0 {
                row + col
            } else {
                let differs = usize::from(left[row - 1] != right[col - 1]);
                let mut least = (cost[at(row - 1, col)] + 1)
                    .min(cost[at(row, col - 1)] + 1)
                    .min(cost[at(row - 1, col - 1)] + differs);
                let swapped = row > 1
                    && col > 1
                    && left[row - 1] == right[col - 2]
                    && left[row - 2] == right[col - 1];
                if swapped {
                    least = least.min(cost[at(row - 2, col - 2)] + 1);
                }
                least
            };
        }
    }
    cost[cost.len() - 1]
}

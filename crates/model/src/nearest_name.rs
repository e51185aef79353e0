//! Suggestions for misspelled names.

/// Returns the candidate with the smallest edit distance to `text`, ignoring ASCII case, or `None` if no candidate is
/// similar enough to be a plausible correction.
pub fn nearest_name<'a>(
    text: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let text = text.to_ascii_lowercase();
    let max_distance = (text.len() / 3).max(1);
    candidates
        .into_iter()
        .map(|it| (distance(&text, &it.to_ascii_lowercase()), it))
        .filter(|(distance, it)| *distance <= max_distance && *distance < it.len())
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, it)| it)
}

/// Returns the edit distance between two texts: the number of insertions, deletions, substitutions and transpositions
/// of adjacent characters (optimal string alignment distance).
fn distance(left: &str, right: &str) -> usize {
    let (left, right): (Vec<char>, Vec<char>) = (left.chars().collect(), right.chars().collect());
    let width = right.len() + 1;
    let mut cost = vec![0; (left.len() + 1) * width];
    for row in 0..=left.len() {
        for col in 0..width {
            let index = |row: usize, col: usize| row * width + col;
            cost[index(row, col)] = if row == 0 || col == 0 {
                row + col
            } else {
                let substitution_cost = usize::from(left[row - 1] != right[col - 1]);
                let mut min_cost = (cost[index(row - 1, col)] + 1)
                    .min(cost[index(row, col - 1)] + 1)
                    .min(cost[index(row - 1, col - 1)] + substitution_cost);
                let is_transposition = row > 1
                    && col > 1
                    && left[row - 1] == right[col - 2]
                    && left[row - 2] == right[col - 1];
                if is_transposition {
                    min_cost = min_cost.min(cost[index(row - 2, col - 2)] + 1);
                }
                min_cost
            };
        }
    }
    cost[cost.len() - 1]
}

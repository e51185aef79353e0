//! Suggestions for mistyped names.

/// Largest edit distance at which a name is still suggested.
const MAX_DISTANCE: usize = 3;

/// Returns the name with the smallest edit distance to `typed`, unless all are too different.
pub(crate) fn nearest_name(typed: &str, names: &[&'static str]) -> Option<&'static str> {
    let (distance, name) = names
        .iter()
        .map(|it| (edit_distance(typed, it), *it))
        .min()?;
    (distance <= MAX_DISTANCE && distance < name.len()).then_some(name)
}

/// Counts the characters to insert, delete or replace to turn `from` into `to`.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (idx, from_char) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = idx + 1;
        for (column, to_char) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(from_char != *to_char);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[to.len()]
}

//! The difference between two sets of files, line by line.

use std::collections::BTreeSet;

use ebonyfork::declaration::DeclaredFile;

/// Most pairs of lines that are compared; larger changes are shown as removed and added as a whole.
const PAIR_LIMIT: usize = 4_000_000;

/// Describes what turns one set of files into another; empty if nothing does.
///
/// # Examples
///
/// ```
/// use ebonyfork::declaration::DeclaredFile;
/// use ebonyforkctl::difference::file_difference;
///
/// let before = [DeclaredFile::new("a.ini", "[service s]\nconnections = 25\n")];
/// let after = [DeclaredFile::new("a.ini", "[service s]\nconnections = 50\n")];
/// assert_eq!(file_difference(&before, &after), "a.ini\n  2 -connections = 25\n  2 +connections = 50\n");
/// ```
pub fn file_difference(before: &[DeclaredFile], after: &[DeclaredFile]) -> String {
    let mut names = BTreeSet::new();
    for file in before.iter().chain(after) {
        names.insert(file.name.as_str());
    }
    let mut text = String::new();
    for name in names {
        let lines = line_difference(text_of(before, name), text_of(after, name));
        if lines.is_empty() {
            continue;
        }
        text.push_str(name);
        text.push('\n');
        for line in lines {
            text.push_str("  ");
            text.push_str(&line);
            text.push('\n');
        }
    }
    text
}

fn text_of<'a>(files: &'a [DeclaredFile], name: &str) -> &'a str {
    let file = files.iter().find(|file| file.name == name);
    file.map_or("", |file| file.text.as_str())
}

fn line_difference(before: &str, after: &str) -> Vec<String> {
    let (before, after): (Vec<&str>, Vec<&str>) =
        (before.lines().collect(), after.lines().collect());
    let same_start = before
        .iter()
        .zip(&after)
        .take_while(|(a, b)| a == b)
        .count();
    let (mid_before, mid_after) = (&before[same_start..], &after[same_start..]);
    let ends = mid_before.iter().rev().zip(mid_after.iter().rev());
    let same_end = ends.take_while(|(a, b)| a == b).count();
    let mid_before = &mid_before[..mid_before.len() - same_end];
    let mid_after = &mid_after[..mid_after.len() - same_end];
    let kept = common_lines(mid_before, mid_after);
    let mut lines = Vec::new();
    let (mut old, mut new) = (0, 0);
    for (kept_old, kept_new) in kept
        .into_iter()
        .chain([(mid_before.len(), mid_after.len())])
    {
        for line in &mid_before[old..kept_old] {
            old += 1;
            lines.push(format!("{} -{line}", same_start + old));
        }
        for line in &mid_after[new..kept_new] {
            new += 1;
            lines.push(format!("{} +{line}", same_start + new));
        }
        (old, new) = (kept_old + 1, kept_new + 1);
    }
    lines
}

/// Places of a longest common subsequence of lines.
fn common_lines(before: &[&str], after: &[&str]) -> Vec<(usize, usize)> {
    let (rows, columns) = (before.len(), after.len());
    if rows.saturating_mul(columns) > PAIR_LIMIT {
        return Vec::new();
    }
    let width = columns + 1;
    let mut lengths = vec![0_u32; (rows + 1) * width];
    for row in (0..rows).rev() {
        for column in (0..columns).rev() {
            lengths[row * width + column] = if before[row] == after[column] {
                lengths[(row + 1) * width + column + 1] + 1
            } else {
                lengths[(row + 1) * width + column].max(lengths[row * width + column + 1])
            };
        }
    }
    let mut kept = Vec::new();
    let (mut row, mut column) = (0, 0);
    while row < rows && column < columns {
        if before[row] == after[column] {
            kept.push((row, column));
            (row, column) = (row + 1, column + 1);
        } else if lengths[(row + 1) * width + column] >= lengths[row * width + column + 1] {
            row += 1;
        } else {
            column += 1;
        }
    }
    kept
}

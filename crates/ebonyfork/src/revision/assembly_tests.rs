use googletest::prelude::*;

use super::*;
use crate::ident::RevisionNumber;
use crate::revision::{ChangeId, PartSet};

fn change(revision: u64, texts: &[&str]) -> (ChangeRecord, Vec<Bytes>) {
    let files: Vec<DeclaredFile> = texts
        .iter()
        .enumerate()
        .map(|(number, text)| DeclaredFile::new(format!("{number}.ini"), *text))
        .collect();
    let part_set = PartSet::new(&files).expect("valid files");
    let change = ChangeRecord {
        revision: RevisionNumber(revision),
        change: ChangeId([revision as u8; 16]),
        lineage: Vec::new(),
        restores: None,
        parts: part_set.entries,
        author: "kim".into(),
        note: "".into(),
        time_ms: 0,
    };
    (change, part_set.texts)
}

#[gtest]
fn a_revision_is_complete_only_with_every_part_and_no_other() {
    let (change, texts) = change(1, &["; a\n", "; b\n"]);
    let part_digests = RevisionAssembly::new(change.clone(), None).missing_parts();
    let mut assembly = RevisionAssembly::new(change, None);
    expect_true!(assembly.add_part(part_digests[0], texts[0].clone()));
    expect_false!(assembly.add_part(part_digests[1], texts[0].clone()));
    expect_false!(assembly.add_part(PartDigest::new("; c\n"), Bytes::from("; c\n")));
    let unfinished_assembly = assembly.finish().expect_err("a part is missing");
    expect_that!(
        unfinished_assembly.missing_parts(),
        elements_are![eq(&part_digests[1])]
    );
    let mut assembly = *unfinished_assembly;
    expect_true!(assembly.add_part(part_digests[1], texts[1].clone()));
    expect_that!(assembly.finish(), ok(anything()));
}

#[gtest]
fn parts_shared_with_the_held_revision_are_reused() {
    let (first_change, texts) = change(1, &["; a\n", "; b\n"]);
    let mut assembly = RevisionAssembly::new(first_change, None);
    for text in texts {
        assembly.add_part(PartDigest::new(&text), text);
    }
    let held_revision = assembly.finish().expect("whole");
    let (second_change, _) = change(2, &["; a\n", "; c\n"]);
    let assembly = RevisionAssembly::new(second_change, Some(&held_revision));
    expect_that!(
        assembly.missing_parts(),
        elements_are![eq(&PartDigest::new("; c\n"))]
    );
}

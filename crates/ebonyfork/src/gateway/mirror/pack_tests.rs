use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

/// Returns lines as similar to one another as routes.
fn text(lines: u32, rng: &mut ChaCha8Rng) -> Vec<String> {
    let line = |rng: &mut ChaCha8Rng| {
        let path: u64 = rng.random();
        format!(
            "{{\"prefix\":\"/{path:016x}/\",\"service\":\"s\",\"timeoutMs\":2500,\"maxAttempts\":2}},\n"
        )
    };
    (0..lines).map(|_| line(rng)).collect()
}

#[gtest]
fn a_value_of_maximum_length_compresses_to_its_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    // 1 MB, the maximum of the store.
    let mut lines = text(14_000, &mut rng);
    let old = lines.concat();
    for _change in 0..5 {
        let index = rng.random_range(0..lines.len());
        lines.remove(index);
        let index = rng.random_range(0..lines.len());
        lines.insert(index, text(1, &mut rng).concat());
    }
    let new = lines.concat();
    let packed = compress(old.as_bytes(), new.as_bytes()).unwrap();
    expect_that!(packed.len(), lt(2_000), "of {} bytes", new.len());
    let read = expand(old.as_bytes(), &packed, new.len()).unwrap();
    expect_that!(read == new.as_bytes(), eq(true));
    let alone = compress(&[], new.as_bytes()).unwrap();
    let read = expand(&[], &alone, new.len()).unwrap();
    expect_that!(read == new.as_bytes(), eq(true));
}

#[gtest]
fn invalid_compressed_data_is_an_error() {
    let packed = compress(b"base", b"a value of some length").unwrap();
    expect_that!(expand(b"base", &packed, 5), err(anything()));
    expect_that!(
        expand(b"base", &packed, 50),
        err(pat!(PackError::LengthMismatch { .. }))
    );
    expect_that!(expand(b"base", b"no frame", 22), err(anything()));
    let base = "one line of text, and another one".repeat(20);
    let packed = compress(base.as_bytes(), base.as_bytes()).unwrap();
    let other = base.replace('o', "0");
    expect_that!(
        expand(other.as_bytes(), &packed, base.len()),
        err(anything()),
        "a different base"
    );
    expect_that!(
        expand(b"base", &packed, MAX_EXPANDED_BYTES + 1),
        err(pat!(PackError::TooLong { .. }))
    );
    let too_long = vec![0; MAX_EXPANDED_BYTES + 1];
    expect_that!(
        compress(&[], &too_long),
        err(pat!(PackError::TooLong { .. })),
        "values too long to be received are not sent"
    );
}

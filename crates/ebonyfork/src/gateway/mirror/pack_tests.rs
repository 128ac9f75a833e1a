use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

/// Returns lines as similar to one another as routes.
fn route_lines(lines: u32, rng: &mut ChaCha8Rng) -> Vec<String> {
    let line = |rng: &mut ChaCha8Rng| {
        let path_number: u64 = rng.random();
        format!(
            "{{\"prefix\":\"/{path_number:016x}/\",\"service\":\"s\",\"timeoutMs\":2500,\"maxAttempts\":2}},\n"
        )
    };
    (0..lines).map(|_| line(rng)).collect()
}

#[gtest]
fn a_value_of_maximum_length_compresses_to_its_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    // About 1 MB, the maximum size of a value in the store.
    let mut lines = route_lines(14_000, &mut rng);
    let old_value = lines.concat();
    for _change in 0..5 {
        let index = rng.random_range(0..lines.len());
        lines.remove(index);
        let index = rng.random_range(0..lines.len());
        lines.insert(index, route_lines(1, &mut rng).concat());
    }
    let new_value = lines.concat();
    let packed_bytes = compress(old_value.as_bytes(), new_value.as_bytes()).unwrap();
    expect_that!(
        packed_bytes.len(),
        lt(2_000),
        "of {} bytes",
        new_value.len()
    );
    let expanded_value = expand(old_value.as_bytes(), &packed_bytes, new_value.len()).unwrap();
    expect_that!(expanded_value == new_value.as_bytes(), eq(true));
    let bytes_packed_alone = compress(&[], new_value.as_bytes()).unwrap();
    let expanded_value = expand(&[], &bytes_packed_alone, new_value.len()).unwrap();
    expect_that!(expanded_value == new_value.as_bytes(), eq(true));
}

#[gtest]
fn invalid_compressed_data_is_an_error() {
    let packed_bytes = compress(b"base", b"a value of some length").unwrap();
    expect_that!(expand(b"base", &packed_bytes, 5), err(anything()));
    expect_that!(
        expand(b"base", &packed_bytes, 50),
        err(pat!(PackError::SizeMismatch { .. }))
    );
    expect_that!(expand(b"base", b"no frame", 22), err(anything()));
    let base = "one line of text, and another one".repeat(20);
    let packed_bytes = compress(base.as_bytes(), base.as_bytes()).unwrap();
    let other_base = base.replace('o', "0");
    expect_that!(
        expand(other_base.as_bytes(), &packed_bytes, base.len()),
        err(anything()),
        "a different base"
    );
    expect_that!(
        expand(b"base", &packed_bytes, MAX_EXPANDED_BYTES + 1),
        err(pat!(PackError::TooLarge { .. }))
    );
    let too_large_value = vec![0; MAX_EXPANDED_BYTES + 1];
    expect_that!(
        compress(&[], &too_large_value),
        err(pat!(PackError::TooLarge { .. })),
        "values too long to be received are not sent"
    );
}

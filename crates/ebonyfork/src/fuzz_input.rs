//! Input for tests of decoders: samples with random changes. The adapter's tests include this file as well.

use std::env;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of inputs of each test unless the environment variable `EBONYFORK_FUZZ_CASES` states one.
const DEFAULT_CASES: u64 = 10_000;
/// Largest number of changes to one sample.
const MAX_CHANGES: usize = 4;
/// Longest input without a sample, in bytes.
const MAX_RANDOM_BYTES: usize = 300;

fn stated(variable: &str, unstated: u64) -> u64 {
    let text = env::var(variable).ok();
    text.map_or(unstated, |text| text.parse().expect("a number"))
}

/// Prints how to repeat a case that panics.
struct CaseReport<'a> {
    number: u64,
    input: &'a [u8],
}

impl Drop for CaseReport<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let input = String::from_utf8_lossy(self.input);
            eprintln!("case {}: {input:?} = {:?}", self.number, self.input);
        }
    }
}

/// Calls a check with inputs that derive from samples; `fragments` are inserted in places. The seed is
/// `EBONYFORK_FUZZ_SEED`, or 1.
pub fn fuzz(samples: &[Vec<u8>], fragments: &[&[u8]], mut check: impl FnMut(&[u8])) {
    let mut rng = ChaCha8Rng::seed_from_u64(stated("EBONYFORK_FUZZ_SEED", 1));
    for number in 0..stated("EBONYFORK_FUZZ_CASES", DEFAULT_CASES) {
        let mut input = samples[rng.random_range(0..samples.len())].clone();
        for _change in 0..rng.random_range(0..=MAX_CHANGES) {
            change(&mut input, fragments, &mut rng);
        }
        let report = CaseReport {
            number,
            input: &input,
        };
        check(report.input);
    }
}

fn change(input: &mut Vec<u8>, fragments: &[&[u8]], rng: &mut ChaCha8Rng) {
    let start = rng.random_range(0..=input.len());
    let end = rng.random_range(start..=input.len().min(start + 24));
    let fragment = fragments[rng.random_range(0..fragments.len())];
    match rng.random_range(0..11) {
        0 if start < input.len() => input[start] = rng.random(),
        1 if start < input.len() => input[start] ^= 1 << rng.random_range(0..8),
        2 => input.truncate(start),
        3 => drop(input.drain(start..end)),
        4 => {
            let copied = input[start..end].to_vec();
            input.splice(end..end, copied);
        }
        5 => replace_digits(input, start, fragment),
        6 => drop(input.splice(start..start, fragment.iter().copied())),
        7 if rng.random_bool(0.1) => {
            let length = rng.random_range(0..=MAX_RANDOM_BYTES);
            *input = (0..length).map(|_byte| rng.random()).collect();
        }
        8 => overwrite(input, start, fragment.len(), fragment),
        9 => overwrite(input, start, 1, fragment),
        _ => overwrite(input, start, end - start, fragment),
    }
}

/// Replaces a number of bytes from a place on.
fn overwrite(input: &mut Vec<u8>, place: usize, length: usize, fragment: &[u8]) {
    let end = input.len().min(place + length);
    drop(input.splice(place..end, fragment.iter().copied()));
}

/// Replaces the number in a text that follows a place.
fn replace_digits(input: &mut Vec<u8>, place: usize, fragment: &[u8]) {
    let Some(first) = input[place..].iter().position(u8::is_ascii_digit) else {
        return;
    };
    let first = place + first;
    let digits = input[first..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit());
    let end = first + digits.count();
    drop(input.splice(first..end, fragment.iter().copied()));
}

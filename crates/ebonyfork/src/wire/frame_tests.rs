use googletest::prelude::*;

use super::*;

const LONG: usize = 100_000;

fn begin(length: usize) -> BytesMut {
    BytesMut::from(&(length as u32).to_be_bytes()[..])
}

#[gtest]
fn incomplete_long_frames_take_memory_until_they_end() {
    let memory = FrameMemory::new(LONG + 1);
    let mut first = FrameDecoder::new(1 << 20, memory.clone());
    let mut second = FrameDecoder::new(1 << 20, memory);
    let mut source = begin(LONG);
    expect_that!(first.decode(&mut source), ok(none()));
    // A second long frame finds no room, a short one does.
    expect_that!(second.decode(&mut begin(LONG)), err(anything()));
    let mut second = FrameDecoder::new(1 << 20, second.memory.clone());
    let mut short = begin(3);
    short.extend_from_slice(b"abc");
    expect_that!(second.decode(&mut short), ok(some(anything())));
    source.extend_from_slice(&vec![1; LONG]);
    let frame = first.decode(&mut source).expect("valid").expect("whole");
    expect_that!(frame.len(), eq(LONG));
    expect_that!(second.decode(&mut begin(LONG)), ok(none()));
    drop(second);
    expect_that!(first.decode(&mut begin(LONG)), ok(none()));
}

#[gtest]
fn a_frame_beyond_the_limit_is_refused_and_takes_nothing() {
    let memory = FrameMemory::new(LONG);
    let mut decoder = FrameDecoder::new(256, memory.clone());
    expect_that!(decoder.decode(&mut begin(257)), err(anything()));
    decoder.set_max_frame(LONG);
    expect_that!(memory.take(LONG), eq(true));
}

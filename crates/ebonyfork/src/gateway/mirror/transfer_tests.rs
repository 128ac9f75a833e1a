use googletest::prelude::*;

use super::*;

fn content(size: usize) -> Bytes {
    (0..size).map(|number| (number % 251) as u8).collect()
}

/// Returns all chunks that may be sent now.
fn chunks(transfer: &mut OutgoingTransfer) -> Vec<TransferChunk> {
    std::iter::from_fn(|| transfer.next_chunk()).collect()
}

#[gtest]
fn a_transfer_never_exceeds_its_window() {
    let now = Instant::now();
    let message = content(10 * CHUNK_BYTES + 7);
    let mut transfer = OutgoingTransfer::new(message.clone(), now);
    let mut incoming = IncomingTransfer::default();
    let mut in_flight_chunks: Vec<TransferChunk> = Vec::new();
    loop {
        in_flight_chunks.extend(chunks(&mut transfer));
        let in_flight_bytes: usize = in_flight_chunks.iter().map(|chunk| chunk.bytes.len()).sum();
        expect_that!(in_flight_bytes, le(WINDOW_BYTES));
        let chunk = in_flight_chunks.remove(0);
        match incoming.receive(1, (chunk.offset, message.len()), &chunk.bytes) {
            ChunkOutcome::Incomplete(bytes) => {
                expect_that!(transfer.note_acked_bytes(bytes, now), eq(false));
            }
            ChunkOutcome::Complete(bytes) => {
                expect_that!(bytes, eq(&message));
                expect_that!(transfer.note_acked_bytes(bytes.len(), now), eq(true));
                break;
            }
            ChunkOutcome::Unexpected | ChunkOutcome::Invalid => {
                fail!("broken at {}", chunk.offset).unwrap();
                return;
            }
        }
    }
}

#[gtest]
fn a_transfer_progresses_while_chunks_are_acknowledged() {
    let now = Instant::now();
    let mut transfer = OutgoingTransfer::new(content(5 * CHUNK_BYTES), now);
    chunks(&mut transfer);
    expect_that!(transfer.is_progressing(now + STALL_TIMEOUT / 2), eq(true));
    expect_that!(transfer.is_progressing(now + STALL_TIMEOUT), eq(false));
    transfer.note_acked_bytes(CHUNK_BYTES, now + STALL_TIMEOUT);
    expect_that!(
        transfer.is_progressing(now + STALL_TIMEOUT * 3 / 2),
        eq(true)
    );
    transfer.note_acked_bytes(CHUNK_BYTES, now + STALL_TIMEOUT * 2);
    expect_that!(
        transfer.is_progressing(now + STALL_TIMEOUT * 2),
        eq(false),
        "nothing new acknowledged"
    );
    transfer.note_acked_bytes(5 * CHUNK_BYTES, now + STALL_TIMEOUT * 2);
    expect_that!(
        transfer.is_progressing(now + STALL_TIMEOUT * 2),
        eq(false),
        "more than was sent"
    );
}

#[gtest]
fn out_of_order_chunks_are_rejected() {
    let mut incoming = IncomingTransfer::default();
    let mut receive = |number, position, chunk: &[u8]| incoming.receive(number, position, chunk);
    expect_that!(receive(1, (5, 10), b"later"), eq(&ChunkOutcome::Unexpected));
    expect_that!(
        receive(2, (0, 10), b"first"),
        eq(&ChunkOutcome::Incomplete(5))
    );
    expect_that!(
        receive(1, (5, 10), b"other"),
        eq(&ChunkOutcome::Unexpected),
        "from an earlier transfer"
    );
    expect_that!(receive(2, (7, 10), b"gap"), eq(&ChunkOutcome::Invalid));
    expect_that!(
        receive(2, (5, 10), b"after"),
        eq(&ChunkOutcome::Unexpected),
        "the transfer was discarded"
    );
    expect_that!(
        receive(4, (0, 10), b"first"),
        eq(&ChunkOutcome::Incomplete(5))
    );
    expect_that!(
        receive(5, (0, 3), b"new"),
        eq(&ChunkOutcome::Complete(Bytes::from("new")))
    );
    expect_that!(receive(6, (0, 3), b"longer"), eq(&ChunkOutcome::Invalid));
    let too_large_size = MAX_EXPANDED_BYTES + 1;
    expect_that!(
        receive(7, (0, too_large_size), b"x"),
        eq(&ChunkOutcome::Invalid)
    );
}

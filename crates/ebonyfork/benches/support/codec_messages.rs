//! Messages between entry and relay with a given number of attempts, for the bench `wire` and the example `slopes`.

use bytes::Bytes;
use ebonyfork::ident::{RequestFingerprint, ShardNumber, SnapshotVersion, UpstreamAddress};
use ebonyfork::relay::{
    AttemptPurpose, OutcomeBatch, ShardOutcome, ShardTarget, ShardVerdict, SubmitBatch,
    UpstreamLoad,
};
use ebonyfork::wire::PeerMessage;

const SELECTION_BYTES: usize = 200;
const ROWS_BYTES: usize = 300;

/// Returns the address of an upstream by its number.
pub fn upstream(number: u32) -> UpstreamAddress {
    UpstreamAddress(
        (
            [10, (number >> 16) as u8, (number >> 8) as u8, number as u8],
            8080,
        )
            .into(),
    )
}

/// Returns a message that submits a batch of `targets` attempts of one query.
pub fn submit(targets: u32) -> PeerMessage {
    let class = "tender-search".parse().expect("a valid name");
    let selection = Bytes::from(vec![b'x'; SELECTION_BYTES]);
    let target = |attempt| ShardTarget {
        attempt,
        shard: ShardNumber(attempt),
        upstream: upstream(attempt),
        purpose: AttemptPurpose::First,
    };
    PeerMessage::Submit(SubmitBatch {
        query: 1_000_000,
        fingerprint: RequestFingerprint::new(&class, &selection),
        class,
        organisation: "roofers-of-tartu".parse().expect("a valid name"),
        index: "tenders".parse().expect("a valid name"),
        version: SnapshotVersion(17),
        remaining_us: 300_000,
        idempotent: true,
        key: None,
        selection,
        targets: (0..targets).map(target).collect(),
    })
}

/// Returns a message with `count` outcomes that contain rows, and with as many upstream loads.
pub fn outcomes(count: u32) -> PeerMessage {
    let outcome = |attempt| ShardOutcome {
        query: 1_000_000,
        attempt,
        upstream: upstream(attempt),
        verdict: ShardVerdict::Rows {
            version: SnapshotVersion(17),
            body: Bytes::from(vec![b'r'; ROWS_BYTES]),
        },
        waited_us: 900,
        served_us: 10_000,
    };
    let load = |attempt| UpstreamLoad {
        upstream: upstream(attempt),
        wait_us: 2_000,
        service_us: 10_000,
        limit: 2,
        leaving: false,
    };
    PeerMessage::Outcomes(OutcomeBatch {
        outcomes: (0..count).map(outcome).collect(),
        loads: (0..count).map(load).collect(),
    })
}

use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};

use super::*;
use crate::gateway::merge::merge_records;
use crate::wire::PeerMessage;

fn query() -> PartialQuery {
    PartialQuery {
        number: 7,
        digest: 9,
        shards: SmallVec::from_slice(&[1, 300]),
        answer_left_us: 1_000,
        finish_left_us: 90_000,
        longest_wait_us: 0,
        request: PartialRequest {
            method: "GET".into(),
            target: "/a/1".into(),
            headers: vec![("host".into(), Bytes::from_static(b"t.example"))],
            body: Bytes::from_static(b"b"),
        },
        wanted: RecordCut::Greatest(70_000),
    }
}

fn reply() -> PartialReply {
    PartialReply {
        number: 7,
        parts: vec![ShardSignature {
            shard: 1,
            signature: Bytes::from_static(b"s"),
            took_us: 5,
        }],
        records: Bytes::from_static(&[3; RECORD_BYTES]),
        failed: vec![FailedShard {
            shard: 300,
            progress: ShardProgress::Declined,
            avoid: true,
        }],
        cut: RecordCut::Greatest(70_000),
    }
}

fn frame(message: PartialMessage) -> Vec<u8> {
    postcard::to_stdvec(&PeerMessage::Partial(message)).expect("encoded")
}

/// A [`PartialQuery`] of the earlier releases.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierQuery {
    number: u64,
    digest: u64,
    shards: SmallVec<[u16; 16]>,
    answer_left_us: u32,
    finish_left_us: u32,
    longest_wait_us: u32,
    request: PartialRequest,
}

/// A [`PartialReply`] of the earlier releases.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierReply {
    number: u64,
    parts: Vec<ShardSignature>,
    records: Bytes,
    failed: Vec<FailedShard>,
}

/// Bytes of an enum's variant: those of the kind of message, and of the kind of partial message.
fn variant(frame: &[u8]) -> &[u8] {
    &frame[..2]
}

/// Guards against broken links in a planned roll: VMs of an earlier release and of this one read each other's messages.
#[gtest]
fn earlier_releases_and_this_one_read_each_other() {
    let new_query = frame(PartialMessage::Query(query()));
    let new_reply = frame(PartialMessage::Reply(reply()));
    // A decoder of the earlier release ignores what follows.
    let old_query: EarlierQuery = postcard::from_bytes(&new_query[2..]).expect("read");
    let old_reply: EarlierReply = postcard::from_bytes(&new_reply[2..]).expect("read");
    expect_that!(old_query.request, eq(&query().request));
    expect_that!(old_reply.failed, eq(&reply().failed));
    let old_bytes = postcard::to_stdvec(&old_query).expect("encoded");
    let old_frame = [variant(&new_query), &old_bytes].concat();
    let read: PeerMessage = postcard::from_bytes(&old_frame).expect("read");
    let expected = PartialQuery {
        wanted: RecordCut::Unstated,
        ..query()
    };
    expect_that!(
        read,
        eq(&PeerMessage::Partial(PartialMessage::Query(expected)))
    );
    let old_bytes = postcard::to_stdvec(&old_reply).expect("encoded");
    let old_frame = [variant(&new_reply), &old_bytes].concat();
    let read: PeerMessage = postcard::from_bytes(&old_frame).expect("read");
    let expected = PartialReply {
        cut: RecordCut::Unstated,
        ..reply()
    };
    expect_that!(
        read,
        eq(&PeerMessage::Partial(PartialMessage::Reply(expected)))
    );
    for message in [new_query, new_reply] {
        let read: PeerMessage = postcard::from_bytes(&message).expect("read");
        expect_that!(
            postcard::to_stdvec(&read).expect("encoded"),
            eq(&message),
            "reads back"
        );
    }
}

#[gtest]
fn discarded_parts_may_have_run() {
    let mut discarded = reply();
    discarded.discard_parts();
    expect_that!(discarded.parts.len(), eq(0));
    expect_that!(discarded.records.len(), eq(0));
    expect_that!(discarded.failed.len(), eq(2));
    expect_that!(discarded.failed[1].shard, eq(1));
    expect_that!(discarded.failed[1].progress, eq(ShardProgress::Run));
    expect_that!(
        discarded.is_complete(RecordCut::Greatest(9)),
        eq(true),
        "nothing is missing from a reply without parts"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against answers that lack records: whatever the versions and releases of two VMs, a list that passes the
    /// check merges into the greatest records of all parts. Between VMs of this release every list passes.
    #[test]
    fn a_list_that_passes_the_check_loses_no_record(
        near_part in proptest::collection::vec(any::<u8>(), 0..320),
        far_part in proptest::collection::vec(any::<u8>(), 0..320),
        wanted_records in 0_usize..24,
        own_records in 0_usize..24,
        asks_as_earlier in any::<bool>(),
        replies_as_earlier in any::<bool>(),
    ) {
        let wanted = RecordCut::to_greatest(wanted_records);
        let stated = if asks_as_earlier { RecordCut::Unstated } else { wanted };
        let kept_records = if replies_as_earlier { own_records } else { stated.kept_records() };
        let records = merge_records([far_part.as_slice()], kept_records);
        let cut = if replies_as_earlier { RecordCut::Unstated } else { RecordCut::to_greatest(kept_records) };
        let reply = PartialReply { records: records.clone(), cut, ..reply() };
        let passes = asks_as_earlier || reply.is_complete(wanted);
        prop_assert!(passes || replies_as_earlier);
        // Earlier releases don't check, so only what this release replies to them is certain.
        if passes && !(asks_as_earlier && replies_as_earlier) {
            let merged = merge_records([near_part.as_slice(), records.as_ref()], wanted_records);
            let whole = merge_records([near_part.as_slice(), far_part.as_slice()], wanted_records);
            prop_assert_eq!(merged, whole);
        }
    }
}

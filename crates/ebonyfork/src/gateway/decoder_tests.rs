//! Every byte string from outside gives a value or an error, and every value can be used in the arithmetic that follows.

use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, HeaderValue, header};
use serde::Serialize;
use smallvec::{SmallVec, smallvec};

use super::fixture::{item, wire_names};
use super::mirror::{
    CopyChange, IncomingTransfer, PendingPolls, SourceState, StoreCopy, decode_content,
    encode_content, held_values,
};
use super::policy::cold::COLD_CLAIM;
use super::policy::health::UpstreamHealth;
use super::policy::serving::{VmCapacity, min_serving_cores};
use super::request::ForwardRequest;
use super::vms::{VmDirectory, VmRecord};
use super::*;
use crate::fuzz_input::fuzz;
use crate::ident::{IncarnationNumber, RequestFingerprint, SessionId, UpstreamAddress, VmAddress};
use crate::quarantine::{NoticeId, QuarantineNotice, QuarantineTable};
use crate::store::{StoreEra, StoreRevision};
use crate::wire::PeerMessage;

/// Largest encoded numbers, lengths, floats that are no numbers, and long runs of zeros.
const FRAGMENTS: [&[u8]; 8] = [
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    b"\xff\xff\xff\xff\x0f",
    b"\xff\xff\x03",
    b"\x00\x00\xc0\x7f",
    b"\x00\x00\x80\x7f",
    b"\x00\x00\x80\xff",
    b"\x00\x00\x00\x00\x00\x00\x00\x00",
    b"\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80",
];

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoded")
}

fn session() -> SessionId {
    SessionId::new(VmAddress([10, 0, 0, 2].into()), IncarnationNumber(7))
}

fn now() -> Duration {
    Duration::from_secs(90)
}

fn copy() -> StoreCopy {
    let mut copy = StoreCopy::default();
    copy.keep_patches(true);
    let items = (1..40).map(|number| item(&format!("servers/i-{number}"), "an entry", number));
    copy.apply(CopyChange::Full {
        items: items.collect(),
        revision: StoreRevision::new(40),
    });
    copy
}

#[gtest]
fn records_in_the_store_give_a_value_or_an_error() {
    let claim = ClaimRecord {
        holder: Some(session()),
        era: StoreEra(3),
        offers_allowance: true,
    };
    let record = VmRecord {
        caller: ([10, 0, 0, 3], 80).into(),
        zone: "north-a".into(),
        region: "north".into(),
        cores: 0.25,
        vms: 3,
    };
    let samples = [encoded(&claim), encoded(&record)];
    let directory = VmDirectory::new(([10, 0, 0, 1], 80).into());
    fuzz(&samples, &FRAGMENTS, |bytes| {
        if let Ok(record) = ClaimRecord::decode(bytes) {
            let mut claim = StoreClaim::new(session(), COLD_CLAIM);
            claim.observe(StoreRevision::new(u64::MAX), record, now());
            let _write = claim.next_write(true, now() * 2);
        }
        if let Ok(record) = postcard::from_bytes::<VmRecord>(bytes) {
            let own = VmCapacity {
                cores: 1.0,
                load: 0,
            };
            let other = VmCapacity {
                cores: record.cores,
                load: 1_000,
            };
            let min_cores = min_serving_cores([own, other]);
            let sum = own.cores + other.cores;
            assert!((0.0..sum).contains(&min_cores) && sum.is_finite());
            directory.put(&"ebonyfork/vm/a".into(), record);
            assert!(directory.peak_count() <= 10_000);
        }
    });
}

#[gtest]
fn copies_of_the_store_give_a_value_or_an_error() {
    let source = copy();
    let samples = [
        encode_content(&source, StoreRevision::ABSENT, &[])
            .expect("encoded")
            .to_vec(),
        encode_content(&source, StoreRevision::new(40), &held_values(&source))
            .expect("encoded")
            .to_vec(),
        encode_content(&StoreCopy::default(), StoreRevision::ABSENT, &[])
            .expect("encoded")
            .to_vec(),
    ];
    fuzz(&samples, &FRAGMENTS, |bytes| {
        let mut follower = StoreCopy::default();
        let Ok(change) = decode_content(&follower, bytes) else {
            return;
        };
        let _outcome = follower.apply(change);
        let _outcome = follower.apply(CopyChange::Full {
            items: Vec::new(),
            revision: StoreRevision::new(41),
        });
        let _encoded = encode_content(&follower, StoreRevision::new(1), &[]);
    });
}

fn use_quota_message(message: QuotaMessage) {
    let quota = RequestQuota {
        rate: RequestRate(2.0),
        burst: 1.0,
    };
    let terms = PartTerms::new(QuotaBound::default(), quota);
    let hold = PartHold::default();
    let mut ledger = PartLedger::new();
    match message {
        QuotaMessage::Request {
            requester,
            organisation,
            request,
            ..
        } => {
            for _repeat in 0..4 {
                let _decision =
                    ledger.decide(&organisation, terms, hold, (requester, request), now());
            }
            let _check = ledger.check_waiting(&organisation, terms, hold, now() * 2);
        }
        QuotaMessage::GiveBack {
            organisation,
            held_since_ns,
            granted_at_ns,
            ..
        } => {
            let [since, granted] = [held_since_ns, granted_at_ns].map(Duration::from_nanos);
            let hold = PartHold { since, ..hold };
            let _taken = ledger.take(&organisation, terms, hold, now());
            ledger.give_back(&organisation, terms, since, granted, now());
        }
        QuotaMessage::Transfer {
            organisation,
            tokens,
            next_token_ms,
            ..
        } => {
            let _next = now() + Duration::from_millis(u64::from(next_token_ms));
            let _taken = ledger.take(&organisation, terms, hold, now());
            ledger.receive(&organisation, terms, hold, tokens, now());
        }
        _ => {}
    }
}

fn use_mirror_message(message: MirrorMessage, copy: &StoreCopy, transfer: &mut IncomingTransfer) {
    match message {
        MirrorMessage::Follow {
            known_revision,
            held_values,
            ..
        } => {
            let _content = encode_content(copy, known_revision, &held_values);
        }
        MirrorMessage::Chunk {
            transfer: number,
            offset,
            total_bytes,
            bytes,
        } => {
            let _outcome =
                transfer.receive(number, (offset as usize, total_bytes as usize), &bytes);
        }
        MirrorMessage::State {
            state: SourceState::UpToDate { up_to_date_ms, .. },
            ..
        } => {
            let mut polls = PendingPolls::default();
            let number = polls.record(Instant::now());
            let _time = polls.up_to_date_at(number, up_to_date_ms);
        }
        _ => {}
    }
}

fn use_query(query: PartialQuery) {
    let received = Instant::now();
    let finish_by = received + Duration::from_micros(u64::from(query.finish_left_us));
    let request = ForwardRequest::from_partial(&wire_names(), query.request, received, finish_by);
    if let Ok(request) = request {
        let _built = request.build(&wire_names(), &InstanceName::new("i-1"), u64::MAX);
    }
    let _merged = merge_records([[7; 40].as_slice()], query.wanted.kept_records());
}

fn peer_samples() -> Vec<Vec<u8>> {
    let requester = RequesterKey {
        session: session(),
        number: 3,
    };
    let organisation = OrganisationName::new("north-office");
    let quota_request = QuotaMessage::Request {
        requester,
        part: 1,
        organisation: organisation.clone(),
        request: TokenRequest {
            priority: 1,
            longest_wait: Duration::from_millis(20),
            longest_stay: Duration::from_millis(200),
            fingerprint: RequestFingerprint(5),
        },
    };
    let query = PartialQuery {
        number: 1,
        digest: 2,
        shards: smallvec![0, 1],
        answer_left_us: 900,
        finish_left_us: 1_000,
        longest_wait_us: 800,
        request: PartialRequest {
            method: "GET".into(),
            target: "/a/1".into(),
            headers: vec![("x-request-id".into(), Bytes::from_static(b"9c41"))],
            body: Bytes::from_static(b"body"),
        },
        wanted: RecordCut::Greatest(5),
    };
    let messages = [
        PeerMessage::Quota(quota_request),
        PeerMessage::Quota(QuotaMessage::GiveBack {
            part: 1,
            organisation: organisation.clone(),
            held_since_ns: 1,
            granted_at_ns: 2,
        }),
        PeerMessage::Quota(QuotaMessage::Transfer {
            number: 1,
            part: 1,
            organisation,
            tokens: 2,
            next_token_ms: 5,
        }),
        PeerMessage::Partial(PartialMessage::Query(query)),
        PeerMessage::Mirror(MirrorMessage::Follow {
            known_revision: StoreRevision::new(3),
            held_values: held_values(&copy()),
            poll: 1,
        }),
        PeerMessage::Mirror(MirrorMessage::Chunk {
            transfer: 1,
            offset: 0,
            total_bytes: 9,
            bytes: Bytes::from_static(b"chunk"),
        }),
        PeerMessage::Mirror(MirrorMessage::State {
            poll: 1,
            state: SourceState::UpToDate {
                revision: StoreRevision::new(3),
                up_to_date_ms: -4,
            },
        }),
    ];
    messages.iter().map(encoded).collect()
}

#[gtest]
fn messages_of_other_vms_give_a_value_or_an_error() {
    let copy = copy();
    let mut transfer = IncomingTransfer::default();
    fuzz(
        &peer_samples(),
        &FRAGMENTS,
        |bytes| match postcard::from_bytes(bytes) {
            Ok(PeerMessage::Quota(message)) => use_quota_message(message),
            Ok(PeerMessage::Mirror(message)) => use_mirror_message(message, &copy, &mut transfer),
            Ok(PeerMessage::Partial(PartialMessage::Query(query))) => use_query(query),
            Ok(_) | Err(_) => {}
        },
    );
}

#[gtest]
fn notices_in_gossip_give_a_value_or_an_error() {
    let notices = [
        QuarantineNotice::Suspected {
            id: NoticeId(1),
            fingerprint: RequestFingerprint(1),
            upstream: UpstreamAddress(([10, 0, 0, 1], 80).into()),
            age: Duration::from_secs(1),
        },
        QuarantineNotice::Cleared {
            fingerprint: RequestFingerprint(1),
            losses: smallvec![NoticeId(1)],
        },
        QuarantineNotice::Quarantined {
            id: NoticeId(2),
            fingerprint: RequestFingerprint(1),
            lost_upstreams: SmallVec::new(),
            ambiguous: false,
            age: Duration::from_secs(1),
            remaining: Duration::from_mins(5),
        },
        QuarantineNotice::Lifted {
            id: NoticeId(3),
            fingerprint: RequestFingerprint(1),
            age: Duration::from_secs(1),
        },
    ];
    let samples = notices.map(|notice| encoded(&notice));
    fuzz(&samples, &FRAGMENTS, |bytes| {
        let Ok(notice) = postcard::from_bytes::<QuarantineNotice>(bytes) else {
            return;
        };
        let mut table = QuarantineTable::new(1);
        let notice = notice.with_elapsed(now());
        let _number = notice.number();
        let _decisions = table.merge(notice, now());
        for notice in table.take_notices(now() * 2) {
            let _number = notice.number();
        }
        let _notices = table.all_notices(now() * 2);
    });
}

#[gtest]
fn headers_give_a_value_or_an_error() {
    let samples = [
        "3, 1, 8, 250",
        "timeout=5, max=100",
        "Bearer example",
        "8, 0, 10000",
    ];
    let fragments: [&[u8]; 5] = [b"18446744073709551615", b"4294967295", b",", b"1e22", b"-1"];
    let samples = samples.map(|sample| sample.as_bytes().to_vec());
    fuzz(&samples, &fragments, |bytes| {
        let now = Instant::now();
        let Ok(value) = HeaderValue::from_bytes(bytes) else {
            return;
        };
        if let Ok(report) = value.to_str().unwrap_or_default().parse::<LoadReport>() {
            let mut health = UpstreamHealth::new(now, Duration::ZERO);
            health.record_load(report, now);
            assert!(health.expected_ms(now, 1e6, 1).is_finite(), "{report}");
        }
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, value.clone());
        let _digest = read_credential(&headers);
        headers.insert("keep-alive", value.clone());
        let timeout = exchange::keep_alive_timeout(&headers);
        assert!(timeout.is_none_or(|timeout| now.checked_add(timeout).is_some()));
        let wait = ingress::stated_wait(&value);
        assert!(wait.is_none_or(|wait| now.checked_add(wait).is_some()));
    });
}

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;
use crate::ident::RevisionNumber;
use crate::membership::MemberProtocol;

fn sender() -> SenderHeader {
    SenderHeader {
        vm: VmAddress([10, 0, 0, 2].into()),
        version: MemberVersion {
            incarnation: IncarnationNumber(1_800_000_000_000),
            refutation: 1,
        },
        zone: "zone-a".parse().unwrap(),
        leaving: false,
        digest: MemberDigest {
            revision: RevisionNumber(300),
            load: 900,
        },
        digest_sequence: 70,
    }
}

fn facts() -> Vec<GossipFact> {
    let sender = sender();
    let update = MemberUpdate {
        vm: sender.vm,
        version: sender.version,
        health: MemberHealth::Suspect,
        leaving: true,
        age_ds: 12,
        zone: Some(sender.zone.clone()),
    };
    let notice = GossipNotice::new(b"news");
    let digest = DigestUpdate {
        session: sender.session(),
        digest_sequence: 4,
        digest: sender.digest,
    };
    vec![
        GossipFact::Member(update),
        GossipFact::Notice(notice),
        GossipFact::Digest(digest),
    ]
}

fn datagram() -> Vec<u8> {
    let message = MemberMessage::Ping { sequence: 7 };
    let mut writer = DatagramWriter::new(0, DATAGRAM_LIMIT, &sender(), message);
    for fact in facts() {
        assert!(writer.push(&fact));
    }
    writer.finish()
}

#[gtest]
fn a_datagram_round_trips_within_its_limit() {
    let bytes = datagram();
    let decoded_datagram = MemberDatagram::decode(0, &bytes).unwrap();
    expect_that!(decoded_datagram.sender, eq(&sender()));
    expect_that!(
        decoded_datagram.message,
        eq(MemberMessage::Ping { sequence: 7 })
    );
    expect_that!(decoded_datagram.facts, eq(&facts()));
    let mut writer = DatagramWriter::new(0, 300, &sender(), decoded_datagram.message);
    while writer.push(&facts()[0]) {}
    expect_that!(writer.finish().len(), all![le(300), gt(250)]);
}

#[gtest]
fn invalid_datagrams_are_rejected() {
    let with_byte = |index: usize, byte: u8| {
        let mut bytes = datagram();
        bytes[index] = byte;
        bytes
    };
    let cases = [
        (vec![], DatagramError::Foreign),
        (b"GET / HTTP/1.1\r\n".to_vec(), DatagramError::Foreign),
        (vec![0; DATAGRAM_LIMIT + 1], DatagramError::Foreign),
        (with_byte(3, 9), DatagramError::Version),
        (with_byte(7, 9), DatagramError::Deployment),
        (datagram()[..20].to_vec(), DatagramError::Malformed),
        (
            datagram()[..datagram().len() - 1].to_vec(),
            DatagramError::Malformed,
        ),
        (with_byte(8, 7), DatagramError::Malformed),
    ];
    for (bytes, error) in cases {
        expect_that!(
            MemberDatagram::decode(0, &bytes),
            err(eq(&error)),
            "{bytes:?}"
        );
    }
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        cases: 2_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Arbitrary input neither panics nor causes oversized or unbounded output.
    #[test]
    fn arbitrary_bytes_are_tolerated(
        appended_bytes in proptest::collection::vec(any::<u8>(), 0..200),
        cut_length in 0_usize..120,
        flips in proptest::collection::vec((8_usize..100, any::<u8>()), 0..4),
    ) {
        let mut bytes = datagram();
        bytes.truncate(cut_length.max(8));
        bytes.extend(appended_bytes);
        for (index, byte) in flips {
            if let Some(target) = bytes.get_mut(index) {
                *target = byte;
            }
        }
        let own_session = SessionId::new(VmAddress([10, 0, 0, 1].into()), IncarnationNumber(5));
        let now = std::time::Duration::ZERO;
        let mut protocol = MemberProtocol::new(now, own_session, "a".parse().unwrap(), 0, 1);
        let mut outbox = Vec::new();
        protocol.receive_datagram(now, sender().vm, &bytes, &mut outbox);
        protocol.tick(now + std::time::Duration::from_millis(100), &mut outbox);
        prop_assert!(outbox.iter().all(|datagram| datagram.bytes.len() <= DATAGRAM_LIMIT));
        prop_assert!(outbox.len() < 16);
    }
}

use std::net::IpAddr;

use googletest::prelude::*;

use super::*;
use crate::ident::{IncarnationNumber, RevisionNumber};
use crate::membership::MemberState;

/// Starts a member on the loopback address 127.83.1.`host`. The members of one test share a port.
async fn start(host: u8, port: u16, seeds: &[VmAddress]) -> (MemberHandle, u16) {
    let ip: IpAddr = [127, 83, 1, host].into();
    let socket = UdpSocket::bind((ip, port)).await.unwrap();
    let port = socket.local_addr().unwrap().port();
    let own_session = SessionId::new(VmAddress(ip), IncarnationNumber(5));
    let settings = MemberSettings::new(own_session, "a".parse().unwrap(), port, u64::from(host))
        .with_delay(|_vm| Duration::from_millis(1));
    let (_sender, seeds) = watch::channel(seeds.into());
    (MemberHandle::start(settings, socket, seeds), port)
}

#[gtest]
#[tokio::test]
async fn two_members_exchange_state_over_real_sockets() {
    let (first_member, port) = start(1, 0, &[]).await;
    let (second_member, _) = start(2, port, &[VmAddress([127, 83, 1, 1].into())]).await;
    let vm = VmAddress([127, 83, 1, 2].into());
    let mut notices = first_member.notices();
    let mut snapshot = first_member.snapshot();
    let join_wait = snapshot.wait_for(|snapshot| snapshot.get(vm).is_some());
    expect_that!(join_wait.await.is_ok(), eq(true));
    second_member.set_digest(MemberDigest {
        revision: RevisionNumber(3),
        load: 5,
    });
    let notice = GossipNotice::new(b"news");
    second_member.publish_notice(notice.clone());
    second_member.announce_leaving();
    let update_wait = snapshot.wait_for(|snapshot| {
        let member = snapshot.get(vm);
        member.is_some_and(|member| {
            member.state == MemberState::Leaving && member.digest.revision == RevisionNumber(3)
        })
    });
    expect_that!(update_wait.await.is_ok(), eq(true));
    let received_notice = notices.recv().await;
    expect_that!(
        received_notice.map(|notice| notice.number),
        ok(eq(&notice.number))
    );
    expect_that!(first_member.last_peer_contact(), some(anything()));
    let mut registry = Registry::default();
    first_member.register(&mut registry);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    expect_that!(text, contains_substring("members{state=\"leaving\"} 1"));
    expect_that!(
        text,
        contains_substring("member_dropped_datagrams_total{cause=\"foreign\"} 0")
    );
}

/// Guards against a process that goes on without gossip after its actor has panicked: the end is reported with its reason.
#[gtest]
#[tokio::test]
async fn the_end_of_the_actor_is_reported() {
    let own_address = VmAddress([127, 0, 0, 1].into());
    let own_session = SessionId::new(own_address, IncarnationNumber(1));
    let socket = UdpSocket::bind((own_address.0, 0)).await.expect("a socket");
    let port = socket.local_addr().expect("a bound address").port();
    let zone = "a".parse().expect("a zone");
    // The actor calls the delay function for the first datagram to the seed.
    let settings = MemberSettings::new(own_session, zone, port, 1)
        .with_delay(|_vm| panic!("no delay in this test"));
    let seed = VmAddress([127, 0, 0, 2].into());
    let (_sender, seeds) = watch::channel(Arc::from([seed]));
    let handle = MemberHandle::start(settings, socket, seeds);
    let reason = tokio::time::timeout(Duration::from_secs(20), handle.ended()).await;
    expect_that!(reason, ok(eq("actor: no delay in this test")));
}

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use smallvec::smallvec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::ident::IncarnationNumber;
use crate::relay::CancelBatch;

type EventReceiver = mpsc::UnboundedReceiver<LinkEvent>;

fn loopback(host: u8) -> VmAddress {
    VmAddress(IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)))
}

fn session(host: u8) -> SessionId {
    SessionId::new(loopback(host), IncarnationNumber(u64::from(host)))
}

fn message(query: u64) -> PeerMessage {
    PeerMessage::Cancel(CancelBatch {
        query,
        attempts: smallvec![1, 2],
    })
}

fn pool(own_session: SessionId, peer_port: u16) -> (PeerPool, EventReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let settings = PoolSettings::new(own_session, peer_port);
    let pool = PeerPool::new(settings, CancellationToken::new(), move |event| {
        let sent = sender.send(event);
        Box::pin(async move { drop(sent) })
    });
    (pool, receiver)
}

async fn listener(host: u8, port: u16) -> (TcpListener, u16) {
    let listener = TcpListener::bind((loopback(host).0, port)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    (listener, port)
}

#[gtest]
#[tokio::test]
async fn requests_and_replies_use_one_link() {
    let (listener, port) = listener(2, 0).await;
    let (server, mut server_events) = pool(session(2), port);
    let (client, mut client_events) = pool(session(1), port);
    tokio::spawn(async move { server.accept(listener).await });
    for query in 0..100 {
        client.send(loopback(2), message(query)).unwrap();
    }
    for query in 0..100 {
        let Some(LinkEvent::Message {
            from,
            message: received_message,
        }) = server_events.recv().await
        else {
            fail!("the link went down").unwrap();
            return;
        };
        expect_that!(received_message, eq(&message(query)));
        expect_that!(from.peer(), some(eq(session(1))));
        from.send(message(query + 1_000)).unwrap();
    }
    for query in 0..100 {
        let Some(LinkEvent::Message {
            from,
            message: received_message,
        }) = client_events.recv().await
        else {
            fail!("the link went down").unwrap();
            return;
        };
        expect_that!(received_message, eq(&message(query + 1_000)));
        expect_that!(from.peer(), some(eq(session(2))));
    }
}

#[gtest]
#[tokio::test]
async fn messages_for_an_unreachable_peer_come_back_unsent() {
    let (listener, port) = listener(3, 0).await;
    drop(listener);
    let (client, mut client_events) = pool(session(1), port);
    client.send(loopback(3), message(1)).unwrap();
    client.send(loopback(3), message(2)).unwrap();
    let Some(LinkEvent::Down { vm, unsent }) = client_events.recv().await else {
        fail!("a message arrived from nowhere").unwrap();
        return;
    };
    expect_that!(vm, eq(loopback(3)));
    expect_that!(unsent, eq(&VecDeque::from([message(1), message(2)])));
}

#[gtest]
#[tokio::test]
async fn an_invalid_handshake_is_refused_and_the_listener_continues() {
    let (listener, port) = listener(4, 0).await;
    let (server, mut server_events) = pool(session(4), port);
    tokio::spawn(async move { server.accept(listener).await });
    for invalid_bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 2, 0, 99],
        &[255; 64],
    ] {
        let mut stream = TcpStream::connect((loopback(4).0, port)).await.unwrap();
        stream.write_all(invalid_bytes).await.unwrap();
        let mut answer = Vec::new();
        // The server closes the connection, cleanly or with a reset.
        let _read_result = stream.read_to_end(&mut answer).await;
    }
    let (client, _events) = pool(session(1), port);
    client.send(loopback(4), message(7)).unwrap();
    expect_that!(
        server_events.recv().await,
        some(matches_pattern!(LinkEvent::Message {
            message: eq(&message(7)),
            ..
        }))
    );
}

#[gtest]
#[tokio::test]
async fn a_link_to_an_unwanted_peer_is_closed() {
    let (listener, port) = listener(5, 0).await;
    let (server, mut server_events) = pool(session(5), port);
    tokio::spawn(async move { server.accept(listener).await });
    let (client, mut client_events) = pool(session(1), port);
    client.send(loopback(5), message(1)).unwrap();
    expect_that!(server_events.recv().await, some(anything()));
    client.retain(|_vm| false);
    expect_that!(
        client_events.recv().await,
        some(matches_pattern!(LinkEvent::Down {
            vm: eq(&loopback(5)),
            unsent: is_empty()
        }))
    );
    client.send(loopback(5), message(2)).unwrap();
    expect_that!(server_events.recv().await, some(anything()));
}

#[gtest]
#[tokio::test]
async fn a_process_can_send_to_itself() {
    let (client, mut client_events) = pool(session(1), 1);
    client.send(loopback(1), message(1)).unwrap();
    let Some(LinkEvent::Message { from, .. }) = client_events.recv().await else {
        fail!("the link went down").unwrap();
        return;
    };
    from.send(message(2)).unwrap();
    expect_that!(
        client_events.recv().await,
        some(matches_pattern!(LinkEvent::Message {
            message: eq(&message(2)),
            ..
        }))
    );
}

/// Guards against holding memory and a connection for a message that never comes to its end, however slowly it arrives. An
/// idle link stays open.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_link_with_a_message_without_end_is_closed() {
    let (listener, port) = listener(5, 0).await;
    let (server, _server_events) = pool(session(5), port);
    tokio::spawn(async move { server.accept(listener).await });
    let hello = PeerMessage::Hello(crate::wire::LinkHello {
        protocol: crate::wire::PROTOCOL_VERSION,
        session: session(6),
    });
    let hello = postcard::to_stdvec(&hello).unwrap();
    let greeting = [&(hello.len() as u32).to_be_bytes()[..], &hello].concat();
    let mut stream = TcpStream::connect((loopback(5).0, port)).await.unwrap();
    stream.write_all(&greeting).await.unwrap();
    let mut received = vec![0; 1_024];
    let _hello_bytes = stream.read(&mut received).await.unwrap();
    let is_open = async |stream: &mut TcpStream, wait: Duration| {
        tokio::time::timeout(wait, stream.read(&mut [0; 16]))
            .await
            .is_err()
    };
    expect_that!(is_open(&mut stream, Duration::from_mins(2)).await, eq(true));
    // A frame of one MiB, a byte a second.
    stream
        .write_all(&(1_u32 << 20).to_be_bytes())
        .await
        .unwrap();
    let mut seconds = 0;
    while is_open(&mut stream, Duration::from_secs(1)).await && seconds < 600 {
        seconds += 1;
        // Fails once the other side has closed.
        let _closed = stream.write_all(b"a").await;
    }
    expect_that!(seconds, le(25));
    expect_that!(seconds, ge(9));
}

/// Guards against requests that wait for an answer over a link whose task has panicked: its end is reported.
#[gtest]
#[tokio::test]
async fn a_link_that_panics_is_reported_as_down() {
    let (listener, port) = listener(16, 0).await;
    let (server, mut server_events) = pool(session(16), port);
    tokio::spawn(async move { server.accept(listener).await });
    let (sender, mut client_events) = mpsc::unbounded_channel();
    let settings = PoolSettings::new(session(17), port);
    let client = PeerPool::new(settings, CancellationToken::new(), move |event| {
        let LinkEvent::Down { vm, .. } = event else {
            panic!("no messages in this test");
        };
        let is_sent = sender.send(vm).is_ok();
        Box::pin(async move { assert!(is_sent, "the test has ended") })
    });
    client.send(loopback(16), message(1)).unwrap();
    let Some(LinkEvent::Message { from, message }) = server_events.recv().await else {
        fail!("no message").unwrap();
        return;
    };
    from.send(message).unwrap();
    let down = tokio::time::timeout(Duration::from_secs(20), client_events.recv()).await;
    expect_that!(down, ok(some(eq(&loopback(16)))));
}

//! Credentials between processes: they authorise requests everywhere, and lie in no message.

use ebonyfork::gateway::{HeldValues, MirrorMessage};
use ebonyfork::ident::{IncarnationNumber, SessionId, VmAddress};
use ebonyfork::store::StoreRevision;
use ebonyfork::wire::{EventFuture, LinkEvent, PeerMessage, PeerPool, PoolSettings};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::*;

const CREDENTIAL: &str = "bc582dm2buc7takhi73v";

/// Returns a configuration with one organisation.
fn config_with_credential(version: u64, credential: &str) -> String {
    let tenants =
        format!(r#""tenants":[{{"name":"ralo620","apiKeys":["{credential}"]}}],"routes""#);
    config(version, "idempotent").replace("\"routes\"", &tenants)
}

async fn status_with(callers: SocketAddr, credential: &str) -> Option<u16> {
    let bearer = format!("Bearer {credential}");
    let answer = get_with(callers, "/r/1", "credential", &[("authorization", &bearer)]).await;
    answer.map(|answer| answer.status().as_u16())
}

async fn wait_authorised(callers: SocketAddr, credential: &str) {
    let waiting = async {
        while status_with(callers, credential).await != Some(200) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "{callers} doesn't know the credential");
}

/// Follows a gateway like another VM would and returns the bytes of the first copy that it sends.
async fn follow(gateway: &str, own: &str) -> Vec<u8> {
    let vm = |address: &str| VmAddress(address.parse().expect("an address"));
    let session = SessionId::new(vm(own), IncarnationNumber(1));
    let (sender, mut events) = mpsc::unbounded_channel();
    let handler = move |event: LinkEvent| -> EventFuture {
        let _ended = sender.send(event);
        Box::pin(std::future::ready(()))
    };
    let pool = PeerPool::new(
        PoolSettings::new(session, 7104),
        CancellationToken::new(),
        handler,
    );
    let follow = MirrorMessage::Follow {
        known_revision: StoreRevision::ABSENT,
        held_values: HeldValues::new(),
        poll: 1,
    };
    pool.send(vm(gateway), PeerMessage::Mirror(follow))
        .expect("a link");
    let mut content = Vec::new();
    while let Some(event) = events.recv().await {
        let LinkEvent::Message { message, .. } = event else {
            continue;
        };
        let shown = format!("{message:?}");
        assert!(!shown.contains(CREDENTIAL), "{shown}");
        let PeerMessage::Mirror(MirrorMessage::Chunk {
            total_bytes, bytes, ..
        }) = message
        else {
            continue;
        };
        content.extend_from_slice(&bytes);
        if content.len() == total_bytes as usize {
            break;
        }
    }
    content
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}

/// A credential that the operators write must authorise requests on a VM that reads the store and on one that follows
/// another VM, and one that they replace must not. Messages with the configuration must not contain it.
#[gtest]
#[tokio::test]
async fn credentials_count_on_all_vms_and_lie_in_no_message() {
    let (store, _upstream) = store_and_upstream().await;
    store.put("op/config", config_with_credential(3, CREDENTIAL));
    let first = start_gateway("credential-a", "127.230.0.10", store.address());
    let second = start_gateway("credential-b", "127.230.0.11", store.address());
    for gateway in [&first, &second] {
        wait_authorised(gateway.callers, CREDENTIAL).await;
        expect_that!(status_with(gateway.callers, "other").await, some(eq(401)));
    }
    let content = tokio::time::timeout(PATIENCE, follow("127.230.0.10", "127.230.0.30")).await;
    let content = content.expect("a copy");
    // Short content is not compressed, so the name shows that the configuration is in it.
    expect_that!(contains(&content, "ralo620"), eq(true));
    expect_that!(contains(&content, CREDENTIAL), eq(false));
    // By now one of the two follows the other.
    tokio::time::sleep(Duration::from_secs(4)).await;
    store.put("op/config", config_with_credential(4, "r5y2"));
    for gateway in [&first, &second] {
        wait_authorised(gateway.callers, "r5y2").await;
        expect_that!(
            status_with(gateway.callers, CREDENTIAL).await,
            some(eq(401))
        );
    }
}

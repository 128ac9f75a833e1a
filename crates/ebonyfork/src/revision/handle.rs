//! The part of a process that learns revisions.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::watch;

use crate::declaration::{DeclaredConfig, DeclaredFile};
use crate::ident::{RevisionNumber, VmAddress};
use crate::platform::{Backoff, PlatformClient, PlatformError, StoredVersion, WatchChange};
use crate::settings::NodeSettings;
use crate::views::NodeViews;
use crate::wire::{LinkError, LinkSender, PeerMessage};

use super::message::RevisionMessage;
use super::record::{HEAD_KEY, HeadRecord};
use super::store::{parse_head, read_change, read_part};

/// How long one watch of the head waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// What other parts of the process tell the revision feed. Cheap to clone.
#[derive(Debug, Clone)]
pub struct RevisionHandle {
    held: Gauge,
    highest: Gauge,
}

impl RevisionHandle {
    /// Starts to learn revisions and puts each in force through `writer`.
    pub fn start(
        _settings: &NodeSettings,
        client: PlatformClient,
        _views: NodeViews,
        writer: watch::Sender<Arc<DeclaredConfig>>,
        _send: impl Fn(VmAddress, PeerMessage) -> Result<(), LinkError> + Send + Sync + 'static,
    ) -> Self {
        let held = Gauge::default();
        tokio::spawn(follow_head(client, writer, held.clone()));
        let highest = Gauge::default();
        Self { held, highest }
    }

    /// Takes a message of a peer; replies go back by `from`.
    #[expect(
        clippy::unused_async,
        reason = "the caller waits while the feed is busy"
    )]
    pub async fn take_message(&self, _from: LinkSender, _message: RevisionMessage) {}

    /// Notes the revision that a peer's membership digest shows.
    pub fn note_peer_revision(&self, _vm: VmAddress, revision: RevisionNumber) {
        let highest = self.highest.get().max(revision.0 as i64);
        self.highest.set(highest);
    }

    /// Notes the revisions of many members at once.
    pub fn note_members(&self, held: impl IntoIterator<Item = (VmAddress, RevisionNumber)>) {
        for (vm, revision) in held {
            self.note_peer_revision(vm, revision);
        }
    }

    /// Registers the revision in force.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "ebonyfork_revision_held",
            "Revision of the configuration that is in force on this VM",
            self.held.clone(),
        );
        registry.register(
            "ebonyfork_revision_highest",
            "Highest revision of the configuration that any peer has shown",
            self.highest.clone(),
        );
    }
}

async fn follow_head(
    client: PlatformClient,
    writer: watch::Sender<Arc<DeclaredConfig>>,
    held: Gauge,
) {
    let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));
    let mut seen = StoredVersion::ABSENT;
    while !writer.is_closed() {
        let followed = follow_once(&client, &writer, &mut seen).await;
        match followed {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!("configuration: {error}");
                tokio::time::sleep(backoff.next_wait(&mut rng)).await;
            }
        }
        held.set(writer.borrow().revision.0 as i64);
    }
}

async fn follow_once(
    client: &PlatformClient,
    writer: &watch::Sender<Arc<DeclaredConfig>>,
    seen: &mut StoredVersion,
) -> Result<(), PlatformError> {
    match client.watch(HEAD_KEY, *seen, WATCH_WAIT).await? {
        Some(WatchChange::Changed(stored)) => {
            let (version, head) = parse_head(stored)?;
            if head.revision > writer.borrow().revision {
                load(client, writer, head).await?;
            }
            *seen = version;
        }
        Some(WatchChange::Deleted) => *seen = StoredVersion::ABSENT,
        None => {}
    }
    Ok(())
}

async fn load(
    client: &PlatformClient,
    writer: &watch::Sender<Arc<DeclaredConfig>>,
    head: HeadRecord,
) -> Result<(), PlatformError> {
    let missing = |what| PlatformError::Malformed { reason: what };
    let change = read_change(client, head.change).await?;
    let change = change.ok_or_else(|| missing("the head's change is missing".into()))?;
    let mut files = Vec::new();
    for part in &change.parts {
        let text = read_part(client, part.sha256).await?;
        let text = text.ok_or_else(|| missing("a part is missing".into()))?;
        let text = String::from_utf8_lossy(&text).into_owned();
        files.push(DeclaredFile::new(&part.name, text));
    }
    match DeclaredConfig::parse(&files, change.revision) {
        Ok(config) => {
            writer.send_replace(Arc::new(config));
        }
        Err(findings) => log::error!("revision {} has findings:\n{findings}", change.revision),
    }
    Ok(())
}

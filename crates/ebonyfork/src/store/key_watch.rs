//! Watches a single key of the store.

use super::{
    MirrorChange, MirrorFeed, MirrorSettings, StoreEvent, StoreItem, StorePort, StoreRevision,
};

/// Returns the item of one key each time it changes.
///
/// After a failed call the key is read again, not just watched: a store that was restored from a backup may have
/// reached the same revision again with different content.
#[derive(Debug)]
pub struct KeyWatch<P> {
    key: String,
    feed: MirrorFeed<P>,
    /// The revision up to which changes of the key have been returned.
    returned_revision: StoreRevision,
}

impl<P: StorePort> KeyWatch<P> {
    /// Creates a watch that has read nothing yet.
    pub fn new(port: P, key: impl Into<String>) -> Self {
        let key = key.into();
        let settings = MirrorSettings::new(&key).with_reread_after_failure();
        Self {
            feed: MirrorFeed::new(port, settings),
            key,
            returned_revision: StoreRevision::ABSENT,
        }
    }

    /// Waits for the next item of the key; returns `None` if the key is absent. The first call returns the current
    /// item.
    pub async fn next(&mut self) -> Option<StoreItem> {
        loop {
            let step = self.feed.step().await;
            match step.change {
                None => {}
                Some(MirrorChange::Replaced(items)) => {
                    let item = items.into_iter().find(|item| item.key == self.key);
                    self.returned_revision =
                        item.as_ref().map_or(step.revision, |item| item.revision);
                    return item;
                }
                Some(MirrorChange::Changed(events)) => {
                    // Skips other keys with the same prefix, and changes that are older than the item which was read: a
                    // page may be newer than the revision that it states.
                    let is_newer = |event: &StoreEvent| {
                        *event.key() == self.key && event.revision() > self.returned_revision
                    };
                    let Some(event) = events.into_iter().find(is_newer) else {
                        continue;
                    };
                    self.returned_revision = event.revision();
                    return match event {
                        StoreEvent::Written(item) => Some(item),
                        StoreEvent::Removed { .. } => None,
                    };
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "key_watch_tests.rs"]
mod tests;

//! Follows one key of a store.

use super::{MirrorChange, MirrorFeed, MirrorSettings, StoreEvent, StoreItem, StorePort};

/// Tells what one key holds, each time that changes.
///
/// After a failed call the key is read, not just watched: a store that was restored from a backup may have counted up
/// to the same revision again with other content.
#[derive(Debug)]
pub struct KeyWatch<P> {
    key: String,
    feed: MirrorFeed<P>,
}

impl<P: StorePort> KeyWatch<P> {
    /// Makes a watch that has read nothing.
    pub fn new(port: P, key: impl Into<String>) -> Self {
        let key = key.into();
        let settings = MirrorSettings::new(&key).with_rereading();
        Self {
            feed: MirrorFeed::new(port, settings),
            key,
        }
    }

    /// Waits for what the key holds next; `None` if it is absent. The first call tells what it holds now.
    pub async fn next(&mut self) -> Option<StoreItem> {
        loop {
            match self.feed.step().await.change {
                None => {}
                Some(MirrorChange::Replaced(items)) => {
                    return items.into_iter().find(|item| item.key == self.key);
                }
                Some(MirrorChange::Changed(events)) => {
                    let event = events.into_iter().find(|event| *event.key() == self.key);
                    match event {
                        Some(StoreEvent::Written(item)) => return Some(item),
                        Some(StoreEvent::Removed { .. }) => return None,
                        // Another key that begins alike.
                        None => {}
                    }
                }
            }
        }
    }
}

//! Follows one key of a store.

use super::{
    MirrorChange, MirrorFeed, MirrorSettings, StoreEvent, StoreItem, StorePort, StoreRevision,
};

/// Tells what one key holds, each time that changes.
///
/// After a failed call the key is read, not just watched: a store that was restored from a backup may have counted up
/// to the same revision again with other content.
#[derive(Debug)]
pub struct KeyWatch<P> {
    key: String,
    feed: MirrorFeed<P>,
    /// The revision up to which changes of the key have been told.
    told: StoreRevision,
}

impl<P: StorePort> KeyWatch<P> {
    /// Makes a watch that has read nothing.
    pub fn new(port: P, key: impl Into<String>) -> Self {
        let key = key.into();
        let settings = MirrorSettings::new(&key).with_rereading();
        Self {
            feed: MirrorFeed::new(port, settings),
            key,
            told: StoreRevision::ABSENT,
        }
    }

    /// Waits for what the key holds next; `None` if it is absent. The first call tells what it holds now.
    pub async fn next(&mut self) -> Option<StoreItem> {
        loop {
            let step = self.feed.step().await;
            match step.change {
                None => {}
                Some(MirrorChange::Replaced(items)) => {
                    let item = items.into_iter().find(|item| item.key == self.key);
                    self.told = item.as_ref().map_or(step.revision, |item| item.revision);
                    return item;
                }
                Some(MirrorChange::Changed(events)) => {
                    // Another key may begin alike, and a range that was read may have been newer than its revision.
                    let is_news = |event: &StoreEvent| {
                        *event.key() == self.key && event.revision() > self.told
                    };
                    let Some(event) = events.into_iter().find(is_news) else {
                        continue;
                    };
                    self.told = event.revision();
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

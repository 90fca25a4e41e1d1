//! Engines of a site that crash.

use std::sync;
use std::thread;
use std::time;

use guavausher_platform::names;

use crate::handle;

/// Time after which an engine that crashed by itself is missing from the list and replaced.
const LIST_DELAY: time::Duration = time::Duration::from_millis(2_500);

/// Ends and replaces engines that crash by themselves until the site is shut down.
pub(super) fn replace(site: &sync::Weak<super::Site>, crashed: sync::mpsc::Receiver<String>) {
    for name in crashed {
        let Some(site) = site.upgrade() else {
            return;
        };
        let Some(running) = super::lock(&site.engines).remove(&name) else {
            continue;
        };
        end(running.handle);
        let (site, entry) = (sync::Arc::downgrade(&site), running.entry);
        thread::spawn(move || {
            thread::sleep(LIST_DELAY);
            let Some(site) = site.upgrade() else {
                return;
            };
            site.unlist(&name);
            // Without a free port the engine is not replaced.
            let _ = site.add(&entry.service, &entry.zone, entry.slots, entry.spot);
        });
    }
}

impl super::Site {
    /// Stops an engine at once and removes its entry.
    pub(super) fn crash(&self, name: &str) -> bool {
        let Some(running) = super::lock(&self.engines).remove(name) else {
            return false;
        };
        self.unlist(name);
        end(running.handle);
        true
    }

    fn unlist(&self, name: &str) {
        super::lock(&self.objects).remove(names::SERVERS, name);
        self.notify_watches();
    }
}

fn end(engine: handle::Handle) {
    // Shutting down waits for the engine's thread.
    thread::spawn(move || engine.shutdown());
}

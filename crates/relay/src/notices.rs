//! What engines say of themselves in the heads of their responses.

use guavausher_core::relay::{event, load_report, rate_limit};
use guavausher_core::time;

use crate::attempt;
use crate::clock;
use crate::engine_response;
use crate::head;
use crate::wire;

/// Status of a response that rejects a request for lack of capacity.
const UNAVAILABLE: u16 = 503;
/// Lowest status of a final response.
const MIN_FINAL_STATUS: u16 = 200;

impl attempt::Attempt<'_> {
    /// Applies the engine notices (leaving, on hold, rate limit) in a response head, whatever its
    /// status.
    pub fn apply_notices(&self, head: &head::Head) {
        if head.get(self.runtime.protocol.leaving) == Some("1") {
            self.apply_notice(event::Notice::Leaving);
        }
        let wait = wire::retry_after(head).filter(|wait| !wait.is_zero());
        if let Some(wait) = wait.filter(|_| head.status() == UNAVAILABLE) {
            self.apply_notice(event::Notice::Hold(clock::now().after(wait)));
        }
        self.apply_rate_limit(head);
        self.apply_load(head);
    }

    /// Applies the load that the engine states in the final response to this request.
    fn apply_load(&self, head: &head::Head) {
        let names = &self.runtime.protocol;
        if head.get(names.id) != Some(self.request.trace.as_str()) {
            return;
        }
        if let Some(report) = head
            .get(names.load)
            .and_then(load_report::LoadReport::parse)
        {
            self.apply_notice(event::Notice::Load(report));
        }
    }

    /// Applies the rate limit in a response head, or its absence if the engine has stated one
    /// before.
    fn apply_rate_limit(&self, head: &head::Head) {
        // A misdirected request was answered by another engine, which speaks for itself.
        if head.status() == engine_response::MISDIRECTED {
            return;
        }
        let names = &self.runtime.protocol;
        let is_own = head.get(names.id) == Some(self.request.trace.as_str());
        let rate = head.get(names.rate_limit).map(parse_rate);
        let rate = match rate {
            Some(None) => return,
            None if !(is_own && self.shows_end_of_limit(head)) => return,
            rate => rate.flatten(),
        };
        let earliest = match is_own {
            true => self.dispatch.decided_at,
            false => time::Time::default(),
        };
        self.apply_notice(event::Notice::Limit(rate_limit::Statement {
            rate,
            earliest,
            latest: clock::now(),
        }));
    }

    /// Returns `true` if a response without a rate limit is the engine's own final one, and the
    /// engine has stated a limit before.
    fn shows_end_of_limit(&self, head: &head::Head) -> bool {
        let names = &self.runtime.protocol;
        let is_final = head.status() >= MIN_FINAL_STATUS;
        let is_from_engine = head.get(names.stamp).is_some() || head.get(names.refusal).is_some();
        is_final && is_from_engine && self.runtime.has_stated_limit(&self.dispatch.choice)
    }

    fn apply_notice(&self, notice: event::Notice) {
        let choice = &self.dispatch.choice;
        self.runtime.apply(event::Event::EngineNotice {
            engine: choice.engine.clone(),
            incarnation: choice.incarnation,
            notice,
        });
    }
}

fn parse_rate(text: &str) -> Option<rate_limit::Rate> {
    rate_limit::Rate::from_per_second(text.parse().ok()?)
}

//! Faults that a stand-in can be told to show.

use std::time;

use tokio::sync::watch;

use crate::reply;
use crate::request;

/// Where an answer is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetAt {
    /// Before the request's body is read.
    BeforeBody,
    /// After the headers of the answer.
    AfterHeaders,
    /// After this many tokens of the answer.
    Token(u64),
}

/// What a stand-in does wrong; each field holds until it is replaced.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 to every request.
    pub fail: bool,
    /// Waits so many milliseconds before each request is handled.
    pub delay_ms: u64,
    /// Applies so many requests and closes the connection in place of an answer.
    pub lose_next: u32,
    /// Accepts requests and answers none until it is unset.
    pub freeze: bool,
    /// Takes no new work.
    pub leave: bool,
    /// Cuts each answer.
    pub reset_at: Option<ResetAt>,
    /// Sends each token twice.
    pub duplicate_tokens: bool,
    /// Names another attempt in each answer.
    pub wrong_attempt: bool,
    /// Ends each stream after so many tokens as if it were whole.
    pub truncate_at: Option<u64>,
    /// Answers 500 to this share of requests, in thousandths.
    pub error_rate: u16,
    /// Multiplies the time that work takes.
    pub slow_factor: u32,
    /// Delays load reports by so many milliseconds.
    pub load_lag_ms: u64,
    /// Delays cache events by so many milliseconds.
    pub cache_lag_ms: u64,
    /// Drops this share of cache events, in thousandths.
    pub cache_gap_rate: u16,
    /// Delays the instance list by so many milliseconds.
    pub list_lag_ms: u64,
    /// Refuses this share of instance starts, in thousandths.
    pub refuse_rate: u16,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail: false,
            delay_ms: 0,
            lose_next: 0,
            freeze: false,
            leave: false,
            reset_at: None,
            duplicate_tokens: false,
            wrong_attempt: false,
            truncate_at: None,
            error_rate: 0,
            slow_factor: 1,
            load_lag_ms: 0,
            cache_lag_ms: 0,
            cache_gap_rate: 0,
            list_lag_ms: 0,
            refuse_rate: 0,
        }
    }
}

/// The faults now in effect and the ones that a stand-in starts with.
#[derive(Debug)]
pub struct Switch {
    now: watch::Sender<Faults>,
    first: Faults,
    fields: &'static [&'static str],
}

impl Switch {
    /// Starts with some faults; `fields` names the ones that apply to the stand-in.
    pub fn new(first: Faults, fields: &'static [&'static str]) -> Self {
        Self {
            now: watch::Sender::new(first.clone()),
            first,
            fields,
        }
    }

    /// Returns the faults in effect.
    pub fn get(&self) -> Faults {
        self.now.borrow().clone()
    }

    /// Returns a receiver that sees each change.
    pub fn subscribe(&self) -> watch::Receiver<Faults> {
        self.now.subscribe()
    }

    /// Waits while the stand-in is frozen.
    pub async fn thaw(&self) {
        self.now
            .subscribe()
            .wait_for(|faults| !faults.freeze)
            .await
            .ok();
    }

    /// Delays and freezes as told, before a request is handled.
    pub async fn hold(&self) {
        let delay = self.now.borrow().delay_ms;
        if delay > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay)).await;
        }
        self.thaw().await;
    }

    /// Returns whether the answer to the present request is to be lost.
    pub fn lose(&self) -> bool {
        let mut lost = false;
        self.now.send_if_modified(|faults| {
            lost = faults.lose_next > 0;
            faults.lose_next = faults.lose_next.saturating_sub(1);
            false
        });
        lost
    }

    /// Handles a request to read (`GET`), change (`POST`) or clear (`DELETE`) the faults.
    pub fn respond(&self, request: &request::Request) -> reply::Response {
        let changed = match *request.method() {
            http::Method::GET => Ok(()),
            http::Method::DELETE => {
                self.now.send_replace(self.first.clone());
                Ok(())
            }
            http::Method::POST => self.merge(request.body()),
            _ => Err("use GET, POST or DELETE".to_owned()),
        };
        match changed {
            Ok(()) => reply::json(http::StatusCode::OK, &self.get()),
            Err(message) => reply::bad(message),
        }
    }

    fn merge(&self, body: &[u8]) -> Result<(), String> {
        let fields = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body)
            .map_err(|error| format!("faults: {error}"))?;
        if let Some(name) = fields
            .keys()
            .find(|name| !self.fields.contains(&name.as_str()))
        {
            return Err(format!(
                "faults: {name:?} does not apply here; use {:?}",
                self.fields
            ));
        }
        let mut merged = serde_json::to_value(self.get()).map_err(|error| error.to_string())?;
        if let Some(object) = merged.as_object_mut() {
            object.extend(fields);
        }
        let faults = serde_json::from_value(merged).map_err(|error| format!("faults: {error}"))?;
        self.now.send_replace(faults);
        Ok(())
    }
}

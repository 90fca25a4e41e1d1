//! Calls to the platform that survive its outages and lost answers.

use std::thread;
use std::time;

use guavausher_core::name;
use guavausher_core::store;

use crate::error;
use crate::platform;

const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(2);

/// Repeats calls until they are answered or the deadline has passed.
#[derive(Clone, Debug)]
pub struct Client {
    platform: platform::Platform,
    deadline: time::Instant,
}

/// What became of a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// The write took effect as this version.
    Done(store::Version),
    /// Another write came first; this is what is stored now.
    Lost(Option<store::Object>),
}

/// A list of keys at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Revision of the whole store.
    pub revision: u64,
    /// Keys with their versions.
    pub objects: Vec<store::Entry>,
}

/// The part of a stored object that says which operation wrote it.
#[derive(serde::Deserialize)]
struct Written {
    #[serde(default)]
    operation: name::Name,
}

impl Client {
    /// Names the platform and when the last try may begin.
    pub const fn new(platform: platform::Platform, deadline: time::Instant) -> Self {
        Self { platform, deadline }
    }

    /// Returns when the last try may begin.
    pub const fn deadline(&self) -> time::Instant {
        self.deadline
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    pub fn read(&self, key: &str) -> Result<Option<store::Object>, error::Error> {
        self.read_until(key, &mut Pacer::new(self.deadline))
    }

    /// Lists the keys under a prefix.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    pub fn list(&self, prefix: &str) -> Result<Listing, error::Error> {
        self.listing(|| self.platform.list(prefix))
    }

    /// Waits a short while for a change under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    pub fn watch(&self, prefix: &str, since: u64) -> Result<Listing, error::Error> {
        self.listing(|| self.platform.watch(prefix, since))
    }

    /// Writes an object if `expected` is still its version.
    ///
    /// The body must hold the operation's id in its field `operation`. When an answer is lost the
    /// object is read back: the id there means success, another version without it means that
    /// another write came first, and the expected version means that the write is repeated.
    ///
    /// # Errors
    ///
    /// Fails if it stays unknown whether the write took effect.
    pub fn write(
        &self,
        key: &str,
        expected: Option<store::Version>,
        operation: &name::Name,
        body: &[u8],
    ) -> Result<Write, error::Error> {
        let unknown = || error::Error::Unknown(operation.clone());
        let mut pacer = Pacer::new(self.deadline);
        loop {
            if let store::Reply::Written(version) = self.platform.write(key, expected, body) {
                return Ok(Write::Done(version));
            }
            let stored = self.read_until(key, &mut pacer).map_err(|_| unknown())?;
            if let Some(object) = &stored
                && is_by(object, operation)
            {
                return Ok(Write::Done(object.version));
            }
            if stored.as_ref().map(|object| object.version) != expected {
                return Ok(Write::Lost(stored));
            }
            if !pacer.pause() {
                return Err(unknown());
            }
        }
    }

    /// Removes an object if `expected` is still its version; returns whether it is gone.
    ///
    /// # Errors
    ///
    /// Fails if it stays unknown whether the object is gone.
    pub fn remove(
        &self,
        key: &str,
        expected: store::Version,
        operation: &name::Name,
    ) -> Result<bool, error::Error> {
        let unknown = || error::Error::Unknown(operation.clone());
        let mut pacer = Pacer::new(self.deadline);
        loop {
            if self.platform.remove(key, expected) == store::Reply::Missing {
                return Ok(true);
            }
            match self.read_until(key, &mut pacer).map_err(|_| unknown())? {
                None => return Ok(true),
                Some(object) if object.version != expected => return Ok(false),
                Some(_) if pacer.pause() => {}
                Some(_) => return Err(unknown()),
            }
        }
    }

    fn read_until(
        &self,
        key: &str,
        pacer: &mut Pacer,
    ) -> Result<Option<store::Object>, error::Error> {
        loop {
            match self.platform.read(key) {
                store::Reply::Found(object) => return Ok(Some(object)),
                store::Reply::Missing => return Ok(None),
                _ if pacer.pause() => {}
                _ => return Err(error::Error::Unreachable(format!("read of {key}"))),
            }
        }
    }

    /// Lists the instances that the platform knows.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    pub fn instances(&self) -> Result<Vec<store::Instance>, error::Error> {
        let mut pacer = Pacer::new(self.deadline);
        loop {
            match self.platform.instances() {
                store::Reply::Instances { instances, .. } => return Ok(instances),
                _ if pacer.pause() => {}
                _ => return Err(error::Error::Unreachable("list of instances".to_owned())),
            }
        }
    }

    fn listing(&self, call: impl Fn() -> store::Reply) -> Result<Listing, error::Error> {
        let mut pacer = Pacer::new(self.deadline);
        loop {
            match call() {
                store::Reply::Listed { revision, objects } => {
                    return Ok(Listing { revision, objects });
                }
                _ if pacer.pause() => {}
                _ => return Err(error::Error::Unreachable("list of keys".to_owned())),
            }
        }
    }
}

/// Returns whether the object was written by the operation.
pub fn is_by(object: &store::Object, operation: &name::Name) -> bool {
    serde_json::from_slice::<Written>(&object.body)
        .is_ok_and(|written| written.operation == *operation)
}

/// Spaces retries with jitter until a deadline.
struct Pacer {
    deadline: time::Instant,
    pause: time::Duration,
}

impl Pacer {
    const fn new(deadline: time::Instant) -> Self {
        Self {
            deadline,
            pause: FIRST_PAUSE,
        }
    }

    /// Sleeps before the next try; returns `false` once the time is up.
    fn pause(&mut self) -> bool {
        let now = time::Instant::now();
        if now >= self.deadline {
            return false;
        }
        let pause = self.pause.mul_f64(rand::random_range(0.5..1.0));
        thread::sleep(pause.min(self.deadline - now));
        self.pause = LONGEST_PAUSE.min(self.pause * 2);
        true
    }
}

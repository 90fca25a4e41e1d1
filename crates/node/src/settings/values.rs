//! Checked values of a program's settings.

use std::collections;
use std::net;
use std::time;

use guavausher_core::name;

use crate::settings::{Error, kind, peer};

/// The checked values of all settings of one program.
///
/// A getter fails only for a flag that the program's table does not declare with that kind.
#[derive(Clone, Debug, Default)]
pub struct Values {
    pub(super) texts: collections::BTreeMap<&'static str, String>,
    pub(super) operands: Vec<String>,
}

impl Values {
    /// Returns an address.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared as an address.
    pub fn address(&self, flag: &'static str) -> Result<net::SocketAddr, Error> {
        self.get(flag, |text| text.parse().ok())
    }

    /// Returns a list of addresses.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared as addresses.
    pub fn addresses(&self, flag: &'static str) -> Result<Vec<net::SocketAddr>, Error> {
        self.get(flag, kind::addresses)
    }

    /// Returns a list of instances.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared as instances.
    pub fn peers(&self, flag: &'static str) -> Result<Vec<peer::Peer>, Error> {
        self.get(flag, kind::peers)
    }

    /// Returns a whole number.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared as a number.
    pub fn count(&self, flag: &'static str) -> Result<u64, Error> {
        self.get(flag, |text| text.parse().ok())
    }

    /// Returns a whole number as a size in memory.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared as a number.
    pub fn size(&self, flag: &'static str) -> Result<usize, Error> {
        self.get(flag, |text| text.parse().ok())
    }

    /// Returns a duration.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared in milliseconds.
    pub fn duration(&self, flag: &'static str) -> Result<time::Duration, Error> {
        self.get(flag, kind::millis)
    }

    /// Returns a log level.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared as a level.
    pub fn level(&self, flag: &'static str) -> Result<log::LevelFilter, Error> {
        self.get(flag, |text| text.parse().ok())
    }

    /// Returns a name.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared.
    pub fn name(&self, flag: &'static str) -> Result<name::Name, Error> {
        self.get(flag, |text| Some(name::Name::from(text)))
    }

    /// Returns the bytes of a secret.
    ///
    /// # Errors
    ///
    /// Fails if the setting is not declared.
    pub fn secret(&self, flag: &'static str) -> Result<Vec<u8>, Error> {
        self.get(flag, |text| Some(text.as_bytes().to_vec()))
    }

    /// Returns the arguments that are no flags.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    fn get<T>(
        &self,
        flag: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, Error> {
        self.texts
            .get(flag)
            .and_then(|text| parse(text))
            .ok_or(Error::Undeclared { flag })
    }
}

//! Orders from a controller.

/// How many accepted orders are kept for reading.
const MAX_LOG: usize = 4_096;

/// An order with the fencing number of its sender's lease.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fenced {
    /// Fencing number.
    pub fence: u64,
    /// What is ordered.
    pub order: Order,
}

/// What an engine should serve; absent fields stay as they are.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Order {
    /// The model to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The adapter to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version to serve.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The role to take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// The orders that an engine took.
#[derive(Debug)]
pub struct Orders {
    fencing: bool,
    fence: u64,
    version: String,
    log: Vec<Fenced>,
}

impl Orders {
    /// Starts with a version; without `fencing` every order is taken.
    pub const fn new(fencing: bool, version: String) -> Self {
        Self {
            fencing,
            fence: 0,
            version,
            log: Vec::new(),
        }
    }

    /// Takes an order, or returns the current fencing number if its own is lower.
    pub fn take(&mut self, fenced: Fenced) -> Result<(), u64> {
        if self.fencing && fenced.fence < self.fence {
            return Err(self.fence);
        }
        self.fence = fenced.fence;
        if let Some(version) = &fenced.order.version {
            self.version.clone_from(version);
        }
        if self.log.len() < MAX_LOG {
            self.log.push(fenced);
        }
        Ok(())
    }

    /// Returns the version that is served.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the orders that were taken.
    pub fn log(&self) -> &[Fenced] {
        &self.log
    }
}

//! Keeps the highest configuration that is known in force.

use std::sync::Arc;

use dottereltally_lib::text;
use dottereltally_platform::layout;
use tokio::sync::watch;

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// As stored.
    pub record: layout::Configuration,
    /// Its checked text.
    pub text: Arc<text::Text>,
}

/// Reads the configuration in force and waits for the next.
pub type Receiver = watch::Receiver<Option<Arc<Current>>>;

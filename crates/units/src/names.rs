//! Names assigned by operators and by the platform: tenants, keys, models, adapters, engines, zones, regions.

use crate::prelude::*;

macro_rules! name_type {
    ($($kind:ident),*) => {$(
        #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $kind(pub String);
        impl $kind {
            pub fn as_str(&self) -> &str { &self.0 }
        }
        impl From<&str> for $kind {
            fn from(text: &str) -> Self { $kind(text.to_owned()) }
        }
        impl fmt::Display for $kind {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result { out.write_str(&self.0) }
        }
    )*};
}

name_type!(TenantName, KeyName, ModelName, EngineName, ServiceName, RouteName, Zone, Region, AdapterName);

/// The length of the longest name. Names of other systems are longer once they are encoded.
pub const MAX_NAME_BYTES: usize = 256;

/// Whether `text` is a valid name: 1 to `MAX_NAME_BYTES` ASCII letters, digits, `-`, `_` or `.`.
pub fn is_valid_name(text: &str) -> bool {
    let has_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    has_length && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

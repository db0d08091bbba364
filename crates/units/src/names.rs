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

/// Whether `text` is a valid name: 1 to 64 ASCII letters, digits, `-`, `_` or `.`.
pub fn is_valid_name(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

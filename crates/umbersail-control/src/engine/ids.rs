//! Identifiers of jobs and machines, as separate types so that they cannot be confused. Each is
//! a reference-counted string: many tables refer to the same job, and a clone only increments
//! a counter.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Rc<str>);

        impl $name {
            /// The shared string, for packages that do not use these types.
            pub fn shared(&self) -> &Rc<str> {
                &self.0
            }
        }

        impl From<Rc<str>> for $name {
            fn from(text: Rc<str>) -> $name {
                $name(text)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.into())
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        // Equality, order and hash are those of the string, as lookups by `&str` in maps require.
        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

identifier! {
    /// Identifies a job, in the form that users see: `req-000412`.
    JobId
}

identifier! {
    /// Identifies a machine by the cloud's name for the machine: `host-000231`.
    MachineId
}

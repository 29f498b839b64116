//! Identifiers of jobs and machines, as types of their own so that one can't be taken for
//! the other. Each is a shared text: many tables name the same job, and a copy costs a
//! count.

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
            /// The shared text, for packages that know no identifiers.
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

        // Equality, order and hash are those of the text, as maps by `&str` need.
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
    /// Identifies a job, in the users' form: `req-000412`.
    JobId
}

identifier! {
    /// Identifies a machine, by the cloud's name of it: `host-000231`.
    MachineId
}

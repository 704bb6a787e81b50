//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use ringbend_settings::{NodePath, SettingKey};
use ringbend_types::{ChangeId, Fingerprint, SettingsVersion};

/// The operators' tool of Ringbend.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// the instance's operators' address, IP:port
    #[argh(option, default = "String::from(\"127.0.0.1:8081\")")]
    pub(crate) admin: String,
    /// file that holds the operator's key; RINGBEND_ADMIN_KEY is used when left out
    #[argh(option)]
    pub(crate) key_file: Option<PathBuf>,
    /// print JSON, for programs
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Settings(SettingsArgs),
    Status(StatusArgs),
    Endpoints(EndpointsArgs),
    Drain(DrainArgs),
    Suspects(SuspectsArgs),
    Certs(CertsArgs),
}

/// show the instance
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {}

/// list the endpoints that the instance knows
#[derive(FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct EndpointsArgs {}

/// have the instance leave gracefully
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {}

/// list requests that are suspected of ending endpoints, or held for it; at a relay's metrics address
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
pub(crate) struct SuspectsArgs {
    /// the fingerprint of one to clear at all instances
    #[argh(option)]
    pub(crate) clear: Option<Fingerprint>,
}

/// write a test set of keys and certificates between instances
#[derive(FromArgs)]
#[argh(subcommand, name = "certs")]
pub(crate) struct CertsArgs {
    /// folder to write into
    #[argh(option)]
    pub(crate) out: PathBuf,
}

/// read and change the settings tree
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct SettingsArgs {
    #[argh(subcommand)]
    pub(crate) command: SettingsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum SettingsCommand {
    Get(GetArgs),
    Set(SetArgs),
    Unset(UnsetArgs),
    Apply(ApplyArgs),
    Validate(ValidateArgs),
    Diff(DiffArgs),
    History(HistoryArgs),
    Explain(ExplainArgs),
    Schema(SchemaArgs),
}

/// show the settings in force at a node
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArgs {
    /// the node: /, /ACCOUNT, /ACCOUNT/SERVICE or /ACCOUNT/SERVICE/CLASS
    #[argh(positional)]
    pub(crate) path: NodePath,
    /// one setting, such as limits.tokens_per_s
    #[argh(positional)]
    pub(crate) key: Option<SettingKey>,
}

/// override one setting at a node
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub(crate) struct SetArgs {
    /// the node
    #[argh(positional)]
    pub(crate) path: NodePath,
    /// the setting
    #[argh(positional)]
    pub(crate) key: SettingKey,
    /// the value, as JSON; text that is not JSON is taken as a string
    #[argh(positional)]
    pub(crate) value: String,
    /// the change's id, to ask again after an unknown outcome; made up when left out
    #[argh(option)]
    pub(crate) change_id: Option<ChangeId>,
    /// refuse when the node changed after this version
    #[argh(option)]
    pub(crate) base: Option<SettingsVersion>,
}

/// remove an override, so that the node inherits again
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
pub(crate) struct UnsetArgs {
    /// the node
    #[argh(positional)]
    pub(crate) path: NodePath,
    /// the setting
    #[argh(positional)]
    pub(crate) key: SettingKey,
    /// the change's id
    #[argh(option)]
    pub(crate) change_id: Option<ChangeId>,
    /// refuse when the node changed after this version
    #[argh(option)]
    pub(crate) base: Option<SettingsVersion>,
}

/// apply a change from a JSON file: {"id", "author", "base"?, "edits": [{"path", "key", "value"}]}
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// check a change without applying it
#[derive(FromArgs)]
#[argh(subcommand, name = "validate")]
pub(crate) struct ValidateArgs {
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// show the settings that differ between two nodes
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// one node
    #[argh(positional)]
    pub(crate) left: NodePath,
    /// the other
    #[argh(positional)]
    pub(crate) right: NodePath,
}

/// show the latest accepted changes, newest first
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct HistoryArgs {
    /// how many
    #[argh(option, default = "20")]
    pub(crate) most: usize,
}

/// show each setting at a node and the node that set it
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the node
    #[argh(positional)]
    pub(crate) path: NodePath,
}

/// print the JSON schema of a node's settings
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(crate) struct SchemaArgs {}

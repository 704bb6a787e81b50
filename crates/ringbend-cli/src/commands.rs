//! Runs the commands.

use std::path::Path;

use ringbend_settings::{NodePath, SettingKey};
use ringbend_types::{ChangeId, SettingsVersion};
use serde_json::{Value, json};

use crate::args::{Args, Command, SettingsCommand, SuspectsArgs};
use crate::client::{AdminClient, CliError};
use crate::output;

/// Runs one command.
pub(crate) async fn run(args: Args) -> Result<(), CliError> {
    if let Command::Certs(certs) = &args.command {
        ringbend_cli::write_test_certificates(&certs.out).map_err(CliError::Certificates)?;
        println!("wrote authority.pem, peer.pem and peer.key to {}", certs.out.display());
        return Ok(());
    }
    if let Command::Suspects(suspects) = &args.command {
        // Relays have no operators' key: their metrics address serves monitoring without one.
        let client = AdminClient::new(&args.admin, String::new());
        output::print(&run_suspects(&client, suspects).await?, args.json);
        return Ok(());
    }
    let client = AdminClient::new(&args.admin, read_admin_key(args.key_file.as_deref())?);
    let value = match args.command {
        Command::Status(_) => client.get("/v1/status", &[]).await?,
        Command::Endpoints(_) => client.get("/v1/endpoints", &[]).await?,
        Command::Drain(_) => client.post("/v1/drain", &Value::Null).await?,
        Command::Settings(settings) => run_settings(&client, settings.command).await?,
        Command::Suspects(_) | Command::Certs(_) => return Ok(()),
    };
    output::print(&value, args.json);
    Ok(())
}

async fn run_suspects(client: &AdminClient, args: &SuspectsArgs) -> Result<Value, CliError> {
    match &args.clear {
        Some(fingerprint) => {
            client.post(&format!("/v1/suspects/{fingerprint}/clear"), &Value::Null).await
        }
        None => client.get("/v1/suspects", &[]).await,
    }
}

async fn run_settings(client: &AdminClient, command: SettingsCommand) -> Result<Value, CliError> {
    match command {
        SettingsCommand::Get(args) => {
            let value = client.get("/v1/settings/effective", &path_query(&args.path)).await?;
            let Some(key) = args.key else { return Ok(value) };
            let (feature, name) = key.parts();
            Ok(value[feature][name].clone())
        }
        SettingsCommand::Set(args) => {
            let value = serde_json::from_str(&args.value)
                .unwrap_or_else(|_| Value::String(args.value.clone()));
            let edit = new_edit(&args.path, &args.key, value);
            submit_change(client, args.change_id, args.base, edit).await
        }
        SettingsCommand::Unset(args) => {
            let edit = new_edit(&args.path, &args.key, Value::Null);
            submit_change(client, args.change_id, args.base, edit).await
        }
        SettingsCommand::Apply(args) => {
            client.post("/v1/settings/changes", &read_json(&args.file)?).await
        }
        SettingsCommand::Validate(args) => {
            client.post("/v1/settings/validate", &read_json(&args.file)?).await
        }
        SettingsCommand::Diff(args) => {
            let query = [("left", args.left.to_string()), ("right", args.right.to_string())];
            client.get("/v1/settings/diff", &query).await
        }
        SettingsCommand::History(args) => {
            client.get("/v1/settings/history", &[("most", args.most.to_string())]).await
        }
        SettingsCommand::Explain(args) => {
            client.get("/v1/settings/explain", &path_query(&args.path)).await
        }
        SettingsCommand::Schema(_) => client.get("/v1/settings/schema", &[]).await,
    }
}

fn path_query(path: &NodePath) -> [(&'static str, String); 1] {
    [("path", path.to_string())]
}

fn new_edit(path: &NodePath, key: &SettingKey, value: Value) -> Value {
    json!({"path": path, "key": key, "value": value})
}

/// Submits a change of one setting. Its id is printed first, so that the change can be retried with
/// the same id if the outcome is unknown.
async fn submit_change(
    client: &AdminClient,
    id: Option<ChangeId>,
    base: Option<SettingsVersion>,
    edit: Value,
) -> Result<Value, CliError> {
    let id = id.map_or_else(|| format!("cli-{:016x}", rand::random::<u64>()), |id| id.to_string());
    eprintln!("change id {id}");
    let author = std::env::var("USER").unwrap_or_else(|_| String::from("operator"));
    let body = json!({"id": id, "author": author, "base": base, "edits": [edit]});
    client.post("/v1/settings/changes", &body).await
}

fn read_json(file: &Path) -> Result<Value, CliError> {
    let text = std::fs::read_to_string(file).map_err(CliError::ReadFile)?;
    serde_json::from_str(&text).map_err(CliError::InvalidJson)
}

fn read_admin_key(file: Option<&Path>) -> Result<String, CliError> {
    match file {
        Some(file) => {
            let key = std::fs::read_to_string(file).map_err(CliError::ReadFile)?;
            Ok(key.trim().to_owned())
        }
        None => std::env::var("RINGBEND_ADMIN_KEY").map_err(|_| CliError::MissingKey),
    }
}

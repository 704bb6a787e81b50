//! Generates `src/generated.rs` from `proto/peer.proto`.
//!
//! Usage: `cargo run -p ringbend-wire --example generate`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let files = protox::compile([proto.join("peer.proto")], [&proto])?;
    let out = std::env::temp_dir().join(format!("ringbend-wire-{}", std::process::id()));
    std::fs::create_dir_all(&out)?;
    prost_build::Config::new().out_dir(&out).compile_fds(files)?;
    std::fs::copy(out.join("ringbend.peer.v1.rs"), root.join("src/generated.rs"))?;
    std::fs::remove_dir_all(&out)?;
    Ok(())
}

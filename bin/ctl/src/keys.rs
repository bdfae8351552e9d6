//! Creates the keys and certificates of a deployment.

use std::fs;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;
use std::path::PathBuf;

use cowslipchute_base::code::Code;
use cowslipchute_peer::authority::Authority;
use cowslipchute_peer::identity;
use cowslipchute_peer::identity::Files;
use cowslipchute_resource::check;

use crate::failure::Failure;

/// File mode of a private key: only its owner may read it.
const KEY_MODE: u32 = 0o600;
/// File mode of a certificate.
const CERTIFICATE_MODE: u32 = 0o644;

/// Creates a new certificate authority and a first certificate, and returns the files created.
///
/// # Errors
///
/// `BadFile` when a file already exists or can't be written.
pub fn create(directory: &Path) -> Result<Vec<PathBuf>, Failure> {
    let Files { authority, authority_key, certificate, key } =
        identity::write_files(directory).map_err(|error| bad_file(error.to_string()))?;
    Ok(vec![authority, authority_key, certificate, key])
}

/// Issues another certificate from the authority in a directory, and returns the files created.
///
/// # Errors
///
/// `BadSetting` when the name is invalid; `BadFile` when the authority can't be read, or a file
/// already exists or can't be written.
pub fn issue(directory: &Path, name: &str) -> Result<Vec<PathBuf>, Failure> {
    check::name("--issue", name)
        .map_err(|error| Failure::new(Code::BadSetting, error.to_string()))?;
    let files = Files::in_directory(directory);
    let authority = Authority::from_pem(&read(&files.authority)?, &read(&files.authority_key)?)
        .map_err(|error| bad_file(error.to_string()))?;
    let leaf = authority.issue().map_err(|error| bad_file(error.to_string()))?;
    let (key, certificate) =
        (directory.join(format!("{name}-key.pem")), directory.join(format!("{name}.pem")));
    write(&key, &leaf.key_pem, KEY_MODE)?;
    write(&certificate, &leaf.pem, CERTIFICATE_MODE)?;
    Ok(vec![certificate, key])
}

fn bad_file(text: String) -> Failure {
    Failure::new(Code::BadFile, text)
        .remedy("use another directory, or check the file's permissions")
}

fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| bad_file(format!("{}: {error}", path.display())))
}

/// Writes a new file. An existing file is never replaced, since a process may be using it.
fn write(path: &Path, text: &str, mode: u32) -> Result<(), Failure> {
    let open = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let written = open.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|error| bad_file(format!("{}: {error}", path.display())))
}

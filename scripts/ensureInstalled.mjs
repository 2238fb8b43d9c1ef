// Runs `npm ci` when packages are missing or older than the lock file.
import { existsSync, statSync } from 'node:fs';
import { execSync } from 'node:child_process';

const MARKER = 'node_modules/.package-lock.json';

const isInstalled = () =>
  existsSync(MARKER) && statSync(MARKER).mtimeMs >= statSync('package-lock.json').mtimeMs;

if (!isInstalled()) {
  execSync('npm ci --no-audit --no-fund', { stdio: 'inherit' });
}

package masticcommand

const measureHelp = `Measures the policy in injected time, or a running system over HTTP.

Examples:
  masticladder measure policy --seed 1 --json
  masticladder measure load --target 127.0.0.1:8600 --key demo-key-association --requests 200 --concurrency 20

"policy" prints the same bytes for the same seed. "load" sends to loopback addresses only.

` + exitCodeHelp

type measureCommand struct{}

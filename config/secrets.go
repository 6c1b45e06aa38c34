package config

import (
	"crypto/sha256"
	"fmt"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

const minSecretBytes = 16

// Secrets holds the secret of the deployment and the bearer keys of client accounts and operators. Of the bearer keys,
// only the hashes are kept.
type Secrets struct {
	deployment []byte
	accounts   map[[sha256.Size]byte]string // name by hash of the key
	operators  map[[sha256.Size]byte]string // name by hash of the key
}

// LoadSecrets reads a secrets file. Its trace.BadParameter errors name file and key and never contain a value.
func LoadSecrets(file string) (*Secrets, error) {
	raw, err := ini.LoadSources(ini.LoadOptions{}, file)
	if err != nil {
		return nil, fmt.Errorf("config: read secrets: %w", trace.BadParameter("%s: cannot be read as INI", file))
	}
	return parseSecrets(raw, file)
}

// ParseSecrets reads secrets from a text, for tests and the demo. Its errors are those of LoadSecrets.
func ParseSecrets(text string) (*Secrets, error) {
	raw, err := ini.Load([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("config: read secrets: %w", trace.BadParameter("cannot be read as INI"))
	}
	return parseSecrets(raw, "secrets")
}

func parseSecrets(raw *ini.File, file string) (*Secrets, error) {
	sec := &Secrets{}
	secret := raw.Section("deployment").Key("secret").String()
	if len(secret) < minSecretBytes {
		return nil, trace.BadParameter("config: %s: [deployment] secret: shorter than %d bytes", file, minSecretBytes)
	}
	sec.deployment = []byte(secret)
	var err error
	if sec.accounts, err = namesByKeyHash(raw.Section("accounts"), file); err != nil {
		return nil, err
	}
	if sec.operators, err = namesByKeyHash(raw.Section("operators"), file); err != nil {
		return nil, err
	}
	return sec, nil
}

func namesByKeyHash(sec *ini.Section, file string) (map[[sha256.Size]byte]string, error) {
	names := make(map[[sha256.Size]byte]string)
	for _, key := range sec.Keys() {
		if len(key.String()) < minSecretBytes {
			return nil, trace.BadParameter("config: %s: [%s] %s: key is shorter than %d bytes",
				file, sec.Name(), key.Name(), minSecretBytes)
		}
		sum := sha256.Sum256([]byte(key.String()))
		if _, taken := names[sum]; taken {
			return nil, trace.BadParameter("config: %s: [%s] %s: key is used twice", file, sec.Name(), key.Name())
		}
		names[sum] = key.Name()
	}
	return names, nil
}

// Deployment returns the secret that all processes of the deployment share.
func (sec *Secrets) Deployment() []byte { return sec.deployment }

// Account returns the name of the client account that a bearer key belongs to, and false if there is none.
func (sec *Secrets) Account(key string) (string, bool) {
	name, ok := sec.accounts[sha256.Sum256([]byte(key))]
	return name, ok
}

// Operator returns the name of the operator that a bearer key belongs to, and false if there is none.
func (sec *Secrets) Operator(key string) (string, bool) {
	name, ok := sec.operators[sha256.Sum256([]byte(key))]
	return name, ok
}

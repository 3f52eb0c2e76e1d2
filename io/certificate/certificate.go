// Package certificate mints and loads the fleet's certificate authority and
// the certificates by which VMs know each other.
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// Pair is a certificate with its private key, both PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// LoadError says why keys cannot be used.
type LoadError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string {
	if e.Cause == nil {
		return e.What
	}
	return e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// clockSkew is how far VMs' clocks may differ when a certificate is new.
const clockSkew = 5 * time.Minute

// NewAuthority mints a certificate authority.
func NewAuthority(now time.Time, validFor time.Duration) (Pair, error) {
	template := &x509.Certificate{
		SerialNumber:          serial(),
		Subject:               pkix.Name{CommonName: "hawthornspar fleet"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validFor),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "authority key")
	}
	return sign(template, template, key, key)
}

// NewVM mints the certificate of one VM, named by its common name.
func NewVM(authority Pair, name string, now time.Time, validFor time.Duration) (Pair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, &LoadError{What: "certificate authority", Cause: err}
	}
	signer, ok := parent.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return Pair{}, &LoadError{What: "certificate authority's key is not ECDSA"}
	}
	template := &x509.Certificate{
		SerialNumber: serial(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validFor),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "VM key")
	}
	return sign(template, parent.Leaf, key, signer)
}

func serial() *big.Int {
	raw := make([]byte, 16)
	rand.Read(raw)
	return new(big.Int).SetBytes(raw)
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

// Mutual returns a TLS configuration in which both sides must show a
// certificate of the fleet's authority. Addresses change hands, so names are
// checked by the caller against the common name, not against the address.
func Mutual(authority []byte, own Pair) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, &LoadError{What: "the authority holds no certificate"}
	}
	pair, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		return nil, &LoadError{What: "certificate and key", Cause: err}
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{pair},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the chain without a host name
		VerifyConnection:   verifier{roots}.verify,
		MinVersion:         tls.VersionTLS13,
	}, nil
}

type verifier struct{ roots *x509.CertPool }

func (v verifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &LoadError{What: "peer shows no certificate"}
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     v.roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &LoadError{What: "peer certificate", Cause: err}
	}
	return nil
}

// CommonName returns the VM's name in a PEM certificate.
func CommonName(raw []byte) (string, error) {
	block, _ := pem.Decode(raw)
	if block == nil {
		return "", &LoadError{What: "no PEM block"}
	}
	parsed, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return "", &LoadError{What: "certificate", Cause: err}
	}
	return parsed.Subject.CommonName, nil
}

// Package certificate creates and loads the fleet's certificate authority and the
// certificates with which VMs authenticate each other.
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

// Pair is a certificate with its private key, both in PEM. The authority's Pair is
// stored as JSON under these field names.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// LoadError reports a certificate or key that cannot be used.
type LoadError struct {
	Problem string
	Cause   error
}

// Error implements error.
func (e *LoadError) Error() string {
	if e.Cause == nil {
		return e.Problem
	}
	return e.Problem + ": " + e.Cause.Error()
}

// Unwrap returns the error that caused e, or nil.
func (e *LoadError) Unwrap() error { return e.Cause }

// maxClockSkew is the tolerated difference between VMs' clocks. Certificates start
// to be valid this long before they are created, so that VMs whose clocks are slow
// accept them at once.
const maxClockSkew = 5 * time.Minute

// NewAuthority creates a self-signed certificate authority.
func NewAuthority(now time.Time, validFor time.Duration) (Pair, error) {
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: "hawthornspar fleet"},
		NotBefore:             now.Add(-maxClockSkew),
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

// IssueVM creates a certificate for the VM of the given name, signed by the
// authority. The VM's name is the certificate's common name.
func IssueVM(authority Pair, name string, now time.Time, validFor time.Duration) (Pair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, &LoadError{Problem: "certificate authority", Cause: err}
	}
	signer, ok := parent.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return Pair{}, &LoadError{Problem: "certificate authority's key is not ECDSA"}
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
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

// newSerial returns a random 128-bit serial number.
func newSerial() *big.Int {
	raw := make([]byte, 16)
	rand.Read(raw)
	return new(big.Int).SetBytes(raw)
}

// sign returns the certificate for template and key, signed by signer, which is the
// private key of parent.
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

// MutualTLS returns a configuration for mutual TLS, in which each side must
// present a certificate of the fleet's authority. It does not compare the
// certificate with the peer's address, as addresses are reassigned to other
// VMs. The caller must check the peer's name against the certificate's common
// name.
func MutualTLS(authority []byte, own Pair) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, &LoadError{Problem: "the authority contains no certificate"}
	}
	pair, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		return nil, &LoadError{Problem: "certificate and key", Cause: err}
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{pair},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the chain without a host name
		VerifyConnection:   verifier{roots}.verify,
		MinVersion:         tls.VersionTLS13,
	}, nil
}

// verifier checks that a peer's certificate was signed by one of roots.
type verifier struct{ roots *x509.CertPool }

func (v verifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &LoadError{Problem: "peer presented no certificate"}
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     v.roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &LoadError{Problem: "peer certificate", Cause: err}
	}
	return nil
}

// CommonName returns the common name of a PEM certificate, which is its VM's name.
func CommonName(raw []byte) (string, error) {
	block, _ := pem.Decode(raw)
	if block == nil {
		return "", &LoadError{Problem: "no PEM block"}
	}
	parsed, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return "", &LoadError{Problem: "certificate", Cause: err}
	}
	return parsed.Subject.CommonName, nil
}

package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/x509"
	"encoding/pem"
	"io"
	"io/fs"
	"os"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

const (
	certificateBlock   = "CERTIFICATE"
	keyBlock           = "PRIVATE KEY"
	certificateMode    = fs.FileMode(0o644)
	keyMode            = fs.FileMode(0o600)
	groupAndOthersMode = fs.FileMode(0o077)
	maxFileBytes       = 64 << 10
)

// WriteKeyPair writes a key pair to two PEM files, the key file with mode 0600.
// Without force it changes nothing if one of the files exists, and returns a
// KeysInvalid error.
func WriteKeyPair(pr KeyPair, certificateFile, keyFile string, force bool) error {
	key, err := x509.MarshalPKCS8PrivateKey(pr.Key)
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "encode the key")
	}
	for _, file := range []string{keyFile, certificateFile} {
		if _, err := os.Lstat(file); err == nil && !force {
			return classifier.New(classifier.KeysInvalid, "file %s exists; it is overwritten only with --force", file)
		}
	}
	if err := writePEM(keyFile, keyBlock, key, keyMode, force); err != nil {
		return err
	}
	return writePEM(certificateFile, certificateBlock, pr.Certificate.Raw, certificateMode, force)
}

// writePEM writes one PEM block to a new file. With force it atomically replaces
// an existing file, so that readers never see a partial file.
func writePEM(file, kind string, data []byte, mode fs.FileMode, force bool) error {
	path := file
	if force {
		path = file + ".new"
		_ = os.Remove(path)
	}
	out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return classifier.Wrap(err, classifier.KeysInvalid, "file %s can't be created", file)
	}
	err = errors.Join(
		pem.Encode(out, &pem.Block{
			Type:  kind,
			Bytes: data,
		}),
		out.Sync(),
		out.Close(),
	)
	if err == nil && force {
		err = os.Rename(path, file)
	}
	if err != nil {
		return classifier.Wrap(err, classifier.KeysInvalid, "file %s can't be written", file)
	}
	return nil
}

// ReadCertificate returns the certificate of a PEM file, or a KeysInvalid error.
func ReadCertificate(file string) (*x509.Certificate, error) {
	data, err := readPEM(file, certificateBlock)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.KeysInvalid, "file %s", file)
	}
	return certificate, nil
}

// ReadKeyPair reads a key pair from two PEM files. The error is KeysInvalid if a
// file can't be read, the key doesn't match the certificate, or other users have
// access to the key file.
func ReadKeyPair(certificateFile, keyFile string) (KeyPair, error) {
	certificate, err := ReadCertificate(certificateFile)
	if err != nil {
		return KeyPair{}, err
	}
	key, err := readKey(keyFile)
	if err != nil {
		return KeyPair{}, err
	}
	if !key.PublicKey.Equal(certificate.PublicKey) {
		return KeyPair{}, classifier.New(classifier.KeysInvalid, "key %s doesn't match certificate %s", keyFile, certificateFile)
	}
	return KeyPair{
		Certificate: certificate,
		Key:         key,
	}, nil
}

func readKey(file string) (*ecdsa.PrivateKey, error) {
	data, err := readPEM(file, keyBlock)
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(file)
	if err != nil || info.Mode()&groupAndOthersMode != 0 {
		return nil, classifier.New(classifier.KeysInvalid, "key file %s is accessible to users other than its owner; set its mode to 0600", file)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(data)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.KeysInvalid, "file %s", file)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || key.Curve != elliptic.P256() {
		return nil, classifier.New(classifier.KeysInvalid, "file %s contains no ECDSA key on the curve P-256", file)
	}
	return key, nil
}

// readPEM returns the content of a file that consists of one PEM block.
func readPEM(file, kind string) ([]byte, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.KeysInvalid, "file %s can't be opened", file)
	}
	defer func() { _ = in.Close() }()
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.KeysInvalid, "file %s can't be read", file)
	}
	block, rest := pem.Decode(data)
	if block == nil || block.Type != kind || len(rest) > 0 {
		return nil, classifier.New(classifier.KeysInvalid, "file %s is not one PEM block of type %s", file, kind)
	}
	return block.Bytes, nil
}
